package cacheproxy.bench;

import java.util.concurrent.locks.LockSupport;

/**
 * Threads that take a stated part of the processors and do nothing else: what another's threads cost by being there,
 * without anything that they share with the daemon. Each wakes at an even pace, as a hook's thread does for each call.
 */
final class CpuLoad implements AutoCloseable {
    private final Thread[] threads;
    private volatile boolean over;

    /**
     * @param processors busy in all, by all threads together
     * @param everyMicros between two wakings of a thread
     */
    CpuLoad(int count, double processors, long everyMicros) {
        long burn = Math.round(processors / count * everyMicros * 1000);
        threads = new Thread[count];
        for (int i = 0; i < count; i++) {
            threads[i] = new Thread(() -> run(burn, everyMicros * 1000), "burner");
            threads[i].setDaemon(true);
            threads[i].start();
        }
    }

    private void run(long burn, long every) {
        for (long at = System.nanoTime(); !over; at += every) {
            long from = System.nanoTime();
            while (System.nanoTime() - from < burn) {
                Thread.onSpinWait();
            }
            long rest = at + every - System.nanoTime();
            if (rest > 0) {
                LockSupport.parkNanos(rest);
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
