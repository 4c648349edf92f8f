package damsonworks.daemon;

import damsonworks.config.ConfigException;
import damsonworks.config.ControlSection;
import damsonworks.config.DaemonFile;
import damsonworks.control.CallHandler;
import damsonworks.control.DiagnosticCalls;
import damsonworks.control.Calls.Answer;
import damsonworks.control.Door;
import damsonworks.proxy.Transport;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/** The daemon's control address: {@code GET /status}, and what other parts answer under their own paths. */
final class ControlPart implements Part {
    private final ControlSection spec;
    private final Door door;
    private final Map<String, Supplier<CallHandler>> others;
    private final DiagnosticCalls diagnostics;
    private boolean draining;

    private ControlPart(ControlSection spec, EventLoop loop, Map<String, Supplier<CallHandler>> others, DiagnosticCalls diagnostics) {
        this.spec = spec;
        this.diagnostics = diagnostics;
        this.others = others;
        door = new Door(loop, Transport.BEST.server(), this::call);
    }

    /** @param others what answers calls whose path is such a word, or begins with it and a slash; a supplier of null: nothing does */
    static Part open(DaemonFile file, Part before, EventLoop loop, Map<String, Supplier<CallHandler>> others, DiagnosticCalls diagnostics)
            throws ConfigException, InterruptedException {
        ControlSection spec = file.part(ControlSection.class);
        if (spec == null) {
            return null;
        }
        ControlPart part = new ControlPart(spec, loop, others, diagnostics);
        Binding.require(part.door.bind(spec.listen()), file, "control", spec.listen());
        return part;
    }

    private Answer call(String method, String uri) {
        int query = uri.indexOf('?');
        String path = query < 0 ? uri : uri.substring(0, query);
        if (path.equals("/status")) {
            return !method.equals("GET") ? new Answer(405, "use GET /status", "GET") : draining ? new Answer(503, "draining")
                    : new Answer(200, "active");
        }
        if (DiagnosticCalls.method(path) != null) {
            return diagnostics.call(method, uri);
        }
        List<String> words = new ArrayList<>(List.of("/status"));
        for (Map.Entry<String, Supplier<CallHandler>> e : others.entrySet()) {
            CallHandler handler = e.getValue().get();
            if (handler != null && (path.equals(e.getKey()) || path.startsWith(e.getKey() + "/"))) {
                return handler.call(method, uri);
            }
            if (handler != null) {
                words.add(e.getKey());
            }
        }
        return new Answer(404, "the calls are GET " + String.join(", GET ", words) + ", " + DiagnosticCalls.NAMES);
    }

    InetSocketAddress address() {
        return door.address();
    }

    @Override
    public boolean fits(DaemonFile file) {
        return spec.equals(file.part(ControlSection.class));
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
