package cacheproxy.proxy.process;

/**
 * Decides what a process owes when it is told to end: nothing before it accepts connections, and a drain from then on.
 * A shutdown that begins between the two waits until the start is complete, and drains then. All methods may be called
 * from any thread.
 */
final class ShutdownCoordinator {
    private enum Phase {
        /** No connection has been accepted. */
        STARTING,
        /** Connections may have been accepted, and the drain is not known yet. */
        ACCEPTING,
        /** The drain is known. */
        STARTED,
        /** The process ends by itself, as it could not start. */
        FAILED,
        /** The shutdown began before any connection was accepted. */
        ABANDONED
    }

    private Phase phase = Phase.STARTING;
    /** Known from {@link Phase#STARTED} on. */
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

    /** The start is complete; {@code drainTask} serves pending requests and returns when the process may end. */
    synchronized void started(Runnable drainTask) {
        drain = drainTask;
        phase = Phase.STARTED;
        notifyAll();
    }

    /** The start has failed; a shutdown has nothing to wait for. */
    synchronized void startFailed() {
        phase = Phase.FAILED;
        notifyAll();
    }

    /** Returns when the process may end; run by the JVM's shutdown hook. */
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
