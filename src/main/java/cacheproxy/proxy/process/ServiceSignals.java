package cacheproxy.proxy.process;

import java.util.function.Consumer;

/**
 * The signals of a service: SIGHUP reloads its configuration, SIGTERM drains it and ends the process. Installed before
 * the start, so that from the first connection on no signal is lost and none cuts a connection: a SIGHUP during the
 * start is remembered, and a SIGTERM waits until there is something to drain.
 */
public final class ServiceSignals {
    private final ReloadScheduler reloads;
    private final ShutdownCoordinator shutdown = new ShutdownCoordinator();
    private boolean receivesSighup;

    private ServiceSignals(Consumer<String> log) {
        reloads = new ReloadScheduler(log);
    }

    /**
     * Handles the signals of this process from now on.
     *
     * @param log takes a line for operators, from any thread
     * @throws ReflectiveOperationException if this JDK has no signal handlers
     */
    public static ServiceSignals install(Consumer<String> log) throws ReflectiveOperationException {
        ServiceSignals signals = new ServiceSignals(log);
        signals.receivesSighup = SighupHandler.install(signals.reloads::request);
        Runtime.getRuntime().addShutdownHook(new Thread(signals.shutdown::shutDown, "shutdown"));
        return signals;
    }

    /** Whether SIGHUP reaches the process; it does not if it was started with the signal ignored, as under nohup. */
    public boolean receivesSighup() {
        return receivesSighup;
    }

    /**
     * To be called right before the process listens for clients.
     *
     * @return false if the process is about to end and must not listen
     */
    public boolean mayAcceptConnections() {
        return shutdown.mayAcceptConnections();
    }

    /** Has the configuration read again, as SIGHUP does; returns at once. From any thread. */
    public void requestReload() {
        reloads.request();
    }

    /**
     * The service has started.
     *
     * @param reload reads and adopts the configuration; called on a thread of its own, never twice at once
     * @param drain serves pending requests, and returns when the process may end; called once, on a thread of its own
     */
    public void started(Runnable reload, Runnable drain) {
        shutdown.started(drain);
        reloads.start(reload);
    }

    /** The service could not be started; the process ends without a drain. */
    public void startFailed() {
        shutdown.startFailed();
    }
}
