package cacheproxy.proxy.process;

/**
 * Decides what a process must do before it ends: nothing before it accepts connections, and a drain from then on. A
 * shutdown that begins after connections are accepted, but before the start is complete, waits until the start is
 * complete and then drains. All methods can be called from any thread.
 */
final class ShutdownCoordinator {
    private enum Phase {
        /** No connection has been accepted. */
        STARTING,
        /** Connections may have been accepted, but the drain task is not set yet. */
        ACCEPTING,
        /** The drain task is set. */
        STARTED,
        /** The process ends by itself, as it could not start. */
        FAILED,
        /** The shutdown began before any connection was accepted. */
        ABANDONED
    }

    private Phase phase = Phase.STARTING;
    /** Set from {@link Phase#STARTED} on. */
    private Runnable drain;

    /**
     * Called right before the process listens for clients.
     *
     * @return false if the process is about to end and must not listen
     */
    synchronized boolean mayAcceptConnections() {
        if (phase == Phase.STARTING) {
            phase = Phase.ACCEPTING;
        }
        return phase != Phase.ABANDONED;
    }

    /**
     * Called when the start is complete; {@code drainTask} completes pending requests and returns when the process may
     * end.
     */
    synchronized void started(Runnable drainTask) {
        drain = drainTask;
        phase = Phase.STARTED;
        notifyAll();
    }

    /** Called when the start has failed, so that a shutdown has nothing to wait for. */
    synchronized void startFailed() {
        phase = Phase.FAILED;
        notifyAll();
    }

    /** Returns when the process may end; called by the JVM's shutdown hook. */
    void shutDown() {
        try {
            if (awaitStarted()) {
                drain.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized boolean awaitStarted() throws InterruptedException {
        if (phase == Phase.STARTING) {
            phase = Phase.ABANDONED;
        }
        while (phase == Phase.ACCEPTING) {
            wait();
        }
        return phase == Phase.STARTED;
    }
}
