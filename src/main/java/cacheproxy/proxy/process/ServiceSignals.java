package cacheproxy.proxy.process;

import java.util.function.Consumer;

/**
 * The signal handlers of a service: SIGHUP reloads its configuration, SIGTERM drains it and ends the process. They are
 * installed before the start, so that from the first connection on no signal is lost and none cuts a connection: a
 * SIGHUP during the start is remembered, and a SIGTERM waits until the service can be drained.
 */
public final class ServiceSignals {
    private final ReloadScheduler reloads;
    private final ShutdownCoordinator shutdown = new ShutdownCoordinator();
    private boolean receivesSighup;

    private ServiceSignals(Consumer<String> log) {
        reloads = new ReloadScheduler(log);
    }

    /**
     * Installs the signal handlers of this process.
     *
     * @param log receives lines for operators, from any thread
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
     * Must be called right before the process listens for clients.
     *
     * @return false if the process is about to end and must not listen
     */
    public boolean mayAcceptConnections() {
        return shutdown.mayAcceptConnections();
    }

    /** Requests a reload of the configuration, as SIGHUP does; returns at once. Can be called from any thread. */
    public void requestReload() {
        reloads.request();
    }

    /**
     * Called when the service has started.
     *
     * @param reload reads and applies the configuration; called on its own thread, never concurrently
     * @param drain completes pending requests, and returns when the process may end; called once, on its own thread
     */
    public void started(Runnable reload, Runnable drain) {
        shutdown.started(drain);
        reloads.start(reload);
    }

    /** Called when the service could not be started; the process ends without a drain. */
    public void startFailed() {
        shutdown.startFailed();
    }
}
