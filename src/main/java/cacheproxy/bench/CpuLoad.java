package cacheproxy.bench;

import java.util.concurrent.locks.LockSupport;

/**
 * Threads that keep a stated number of processors busy and share nothing with the daemon: what other threads cost by
 * being there. Each wakes at a constant rate, as a hook's thread does for each call.
 */
final class CpuLoad implements AutoCloseable {
    private static final long NANOS_PER_MICRO = 1000;

    private final Thread[] threads;
    private volatile boolean over;

    /**
     * Starts the threads.
     *
     * @param threadCount 0 for no load
     * @param processors busy in all, by all threads together
     * @param periodMicros between two wakeups of a thread
     */
    CpuLoad(int threadCount, double processors, long periodMicros) {
        long busyNanos = Math.round(processors / Math.max(1, threadCount) * periodMicros * NANOS_PER_MICRO);
        threads = new Thread[threadCount];
        for (int i = 0; i < threadCount; i++) {
            threads[i] = new Thread(() -> run(busyNanos, periodMicros * NANOS_PER_MICRO), "burner");
            threads[i].setDaemon(true);
            threads[i].start();
        }
    }

    private void run(long busyNanos, long periodNanos) {
        for (long at = System.nanoTime(); !over; at += periodNanos) {
            long start = System.nanoTime();
            while (System.nanoTime() - start < busyNanos) {
                Thread.onSpinWait();
            }
            long restNanos = at + periodNanos - System.nanoTime();
            if (restNanos > 0) {
                LockSupport.parkNanos(restNanos);
            } else {
                at = System.nanoTime(); // what is late is not made up for
            }
        }
    }

    @Override
    public void close() {
        over = true;
        try {
            for (Thread thread : threads) {
                thread.join();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt(); // the threads are daemons and end by themselves
        }
    }
}
