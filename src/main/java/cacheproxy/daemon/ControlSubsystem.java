package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.ControlConfig;
import cacheproxy.config.DaemonConfig;
import cacheproxy.control.ControlRequestHandler;
import cacheproxy.control.ControlResponse;
import cacheproxy.control.ControlServer;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.proxy.Transport;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The daemon's control address: {@code GET /status}, and what other parts answer under their own paths. */
final class ControlSubsystem implements Subsystem {
    private final ControlConfig spec;
    private final ControlServer door;
    private final Map<String, Supplier<ControlRequestHandler>> others;
    private final DiagnosticEndpoints diagnostics;
    private boolean draining;

    private ControlSubsystem(
            ControlConfig spec,
            EventLoop loop,
            Map<String, Supplier<ControlRequestHandler>> others,
            DiagnosticEndpoints diagnostics) {
        this.spec = spec;
        this.diagnostics = diagnostics;
        this.others = others;
        door = new ControlServer(loop, Transport.BEST.server(), this::call);
    }

    /**
     * @param others what answers calls whose path is such a word, or begins with it and a slash; a supplier of null:
     *     nothing does
     */
    static Subsystem open(
            DaemonConfig file,
            Subsystem before,
            EventLoop loop,
            Map<String, Supplier<ControlRequestHandler>> others,
            DiagnosticEndpoints diagnostics)
            throws ConfigException, InterruptedException {
        ControlConfig spec = file.part(ControlConfig.class);
        if (spec == null) {
            return null;
        }
        ControlSubsystem part = new ControlSubsystem(spec, loop, others, diagnostics);
        SocketBinder.require(part.door.bind(spec.listen()), file, "control", spec.listen());
        return part;
    }

    private ControlResponse call(String method, String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        if (path.equals("/status")) {
            return !method.equals("GET")
                    ? new ControlResponse(405, "use GET /status", "GET")
                    : draining ? new ControlResponse(503, "draining") : new ControlResponse(200, "active");
        }
        if (DiagnosticEndpoints.requiredMethod(path) != null) {
            return diagnostics.handle(method, uri);
        }
        List<String> words = new ArrayList<>(List.of("/status"));
        for (Map.Entry<String, Supplier<ControlRequestHandler>> e : others.entrySet()) {
            ControlRequestHandler handler = e.getValue().get();
            if (handler != null && (path.equals(e.getKey()) || path.startsWith(e.getKey() + "/"))) {
                return handler.handle(method, uri);
            }
            if (handler != null) {
                words.add(e.getKey());
            }
        }
        return new ControlResponse(
                404, "the calls are GET " + String.join(", GET ", words) + ", " + DiagnosticEndpoints.REQUEST_LIST);
    }

    InetSocketAddress address() {
        return door.address();
    }

    @Override
    public boolean fits(DaemonConfig file) {
        return spec.equals(file.part(ControlConfig.class));
    }

    @Override
    public void drain() {
        draining = true;
    }

    @Override
    public void close() {
        door.closeNow();
    }
}
