package cacheproxy.proxy.process;

import java.util.function.Consumer;

/**
 * Runs reloads of the configuration one at a time, on its own thread. A request during a reload causes one more reload,
 * as the file may have been replaced since it was read, so that the newest file is always applied last. Requests before
 * {@link #start} are remembered. All methods can be called from any thread.
 */
final class ReloadScheduler {
    private final Consumer<String> log;
    /** Reads and applies the configuration; null until the process has started. */
    private Runnable reload;

    private boolean requested;
    private boolean running;

    /** @param log receives lines for operators, from any thread */
    ReloadScheduler(Consumer<String> log) {
        this.log = log;
    }

    /** Sets the task that a reload runs, and runs it if a reload was requested before. */
    synchronized void start(Runnable newReload) {
        reload = newReload;
        if (requested) {
            runInBackground();
        }
    }

    /** Requests a reload of the configuration; returns at once. */
    synchronized void request() {
        requested = true;
        if (running) {
            log.accept("a reload is in progress: the configuration is read once more after it");
        } else if (reload != null) {
            runInBackground();
        }
    }

    private void runInBackground() {
        running = true;
        Thread thread = new Thread(this::runRequested, "reload");
        thread.setDaemon(true);
        thread.start();
    }

    private void runRequested() {
        while (takeRequest()) {
            try {
                reload.run();
            } catch (RuntimeException e) { // the scheduler must keep working for the next request
                log.accept("the configuration could not be applied, please report this: " + e);
            }
        }
    }

    private synchronized boolean takeRequest() {
        running = requested;
        requested = false;
        return running;
    }
}
