package cacheproxy.proxy.process;

import java.util.function.Consumer;

/**
 * Runs reloads of the configuration one at a time, on a thread of its own. A request that comes while a reload runs has
 * it run once more, as the file may have been replaced since it was read; so the newest file is always the last to be
 * adopted. Requests that come before {@link #start} are remembered. All methods may be called from any thread.
 */
final class ReloadScheduler {
    private final Consumer<String> log;
    /** Reads and adopts the configuration; null until the process has started. */
    private Runnable reload;

    private boolean requested;
    private boolean running;

    /** @param log takes a line for operators, from any thread */
    ReloadScheduler(Consumer<String> log) {
        this.log = log;
    }

    /** Sets what a reload does, and runs it if one was requested before. */
    synchronized void start(Runnable newReload) {
        reload = newReload;
        if (requested) {
            runInBackground();
        }
    }

    /** Has the configuration read again; returns at once. */
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
            } catch (RuntimeException e) { // the next request must find a scheduler that works
                log.accept("the configuration could not be taken over, please report this: " + e);
            }
        }
    }

    private synchronized boolean takeRequest() {
        running = requested;
        requested = false;
        return running;
    }
}
