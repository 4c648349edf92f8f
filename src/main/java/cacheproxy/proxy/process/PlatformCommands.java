package cacheproxy.proxy.process;

import cacheproxy.proxy.net.NettyDefaults;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * The platform's commands: {@code serve} runs one proxy, {@code train} loads the classes for the class archive of the
 * build.
 */
public final class PlatformCommands {
    /** The environment variable that names the configuration file. */
    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";

    private static final int START_FAILED_STATUS = 1;

    private static final List<String> OPERATOR_REQUESTS = List.of("GET /status", "POST /standby", "POST /active");

    private PlatformCommands() {}

    /**
     * Starts a proxy with the configuration file that the environment names; SIGTERM ends it. Exits with status 2 if
     * the configuration is invalid, and 1 if the proxy can't be started.
     */
    public static void serve() {
        ServiceSignals signals = installSignalsOrExit();
        NettyDefaults.apply();
        PlatformConfig config = readConfigOrExit();
        try {
            start(config, signals);
        } catch (StartAbandonedException e) {
            // the shutdown that is in progress ends the process
        } catch (Exception e) {
            signals.startFailed();
            System.err.println("can't listen on " + config.listen() + ": " + e.getMessage());
            System.exit(START_FAILED_STATUS);
        } catch (Error e) {
            signals.startFailed();
            System.err.println("can't start: " + e);
            System.exit(START_FAILED_STATUS);
        }
    }

    private static void start(PlatformConfig config, ServiceSignals signals) throws InterruptedException {
        String path = System.getenv(CONFIG_VARIABLE);
        Proxy proxy = Proxy.startWarm(config, signals::mayAcceptConnections);
        proxy.onReloadRequest(signals::requestReload);
        signals.started(() -> proxy.reload(path), proxy::drain);
        if (!signals.receivesSighup()) {
            proxy.log(SighupHandler.IGNORED_MESSAGE);
        }
    }

    private static ServiceSignals installSignalsOrExit() {
        try {
            return ServiceSignals.install(System.err::println);
        } catch (ReflectiveOperationException e) {
            System.err.println("can't handle signals: " + e);
            System.exit(1);
            throw new IllegalStateException(e);
        }
    }

    private static PlatformConfig readConfigOrExit() {
        try {
            return PlatformConfig.read(System.getenv(CONFIG_VARIABLE));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
            System.exit(2);
            throw e;
        }
    }

    /**
     * Starts a proxy and its next version, sends requests of operators and shuts both down, so that the build can
     * archive the classes that a proxy loads. Classes that are not archived are loaded and verified again at each
     * start.
     *
     * @return the exit status
     */
    public static int train() {
        ServiceSignals signals = installSignalsOrExit();
        NettyDefaults.apply();
        PlatformConfig config = readConfigOrExit();
        try {
            train(config.forTraining(), signals);
            return 0;
        } catch (Exception | Error e) { // an event loop that has started would keep the process alive
            signals.startFailed();
            System.err.println("can't train the class archive: " + e);
            return START_FAILED_STATUS;
        }
    }

    private static void train(PlatformConfig config, ServiceSignals signals) throws IOException, InterruptedException {
        Proxy first = Proxy.startWarm(config, signals::mayAcceptConnections);
        signals.started(() -> {}, () -> {});
        Proxy next = Proxy.start(config);
        for (String request : OPERATOR_REQUESTS) {
            sendToControl(config, next, request);
        }
        first.drain();
        next.drain();
    }

    private static void sendToControl(PlatformConfig config, Proxy proxy, String request) throws IOException {
        try (Socket operator =
                new Socket(config.listen().getAddress(), proxy.controlAddress().getPort())) {
            String head = request + " HTTP/1.1\r\nHost: train\r\n\r\n";
            operator.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            operator.getInputStream().readAllBytes();
        }
    }
}
