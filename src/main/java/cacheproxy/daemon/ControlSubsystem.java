package cacheproxy.daemon;

import cacheproxy.config.ConfigException;
import cacheproxy.config.ControlConfig;
import cacheproxy.config.DaemonConfig;
import cacheproxy.control.ControlRequestHandler;
import cacheproxy.control.ControlResponse;
import cacheproxy.control.ControlServer;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.proxy.net.Transport;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

/** The control address: serves {@code GET /status}, the diagnostic endpoints, and the endpoints of other subsystems. */
final class ControlSubsystem implements Subsystem {
    /** The subsystem's section of the configuration file. */
    static final String SECTION = "control";

    private final ControlConfig config;
    private final ControlServer server;
    private final Supplier<Map<String, ControlRequestHandler>> handlers;
    private final DiagnosticEndpoints diagnostics;
    private boolean draining;

    private ControlSubsystem(
            ControlConfig config,
            EventLoop loop,
            Supplier<Map<String, ControlRequestHandler>> others,
            DiagnosticEndpoints diagnostics) {
        this.config = config;
        this.diagnostics = diagnostics;
        this.handlers = others;
        server = new ControlServer(loop, Transport.BEST.server(), this::call);
    }

    /** Binds the control address; empty if the file has no section {@code [control]}. */
    static Optional<ControlSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
            throws ConfigException, InterruptedException {
        ControlConfig config = file.section(ControlConfig.class);
        if (config == null) {
            return Optional.empty();
        }
        ControlSubsystem control =
                new ControlSubsystem(config, context.core().loop(), context.controlHandlers(), context.diagnostics());
        SocketBinder.require(control.server.bind(config.listen()), file, SECTION, config.listen());
        return Optional.of(control);
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
        List<String> paths = new ArrayList<>(List.of("/status"));
        for (Map.Entry<String, ControlRequestHandler> other : handlers.get().entrySet()) {
            if (path.equals(other.getKey()) || path.startsWith(other.getKey() + "/")) {
                return other.getValue().handle(method, uri);
            }
            paths.add(other.getKey());
        }
        return new ControlResponse(
                404, "the calls are GET " + String.join(", GET ", paths) + ", " + DiagnosticEndpoints.REQUEST_LIST);
    }

    @Override
    public Optional<InetSocketAddress> address() {
        return Optional.of(server.address());
    }

    @Override
    public boolean fits(DaemonConfig file) {
        return config.equals(file.section(ControlConfig.class));
    }

    @Override
    public void drain() {
        draining = true;
    }

    @Override
    public void close() {
        server.closeNow();
    }
}
