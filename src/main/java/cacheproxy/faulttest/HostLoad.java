package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.RunValidity;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Samples how often nearly all processors of the machine are busy, regardless of the program. Thread-safe. */
final class HostLoad implements AutoCloseable {
    private static final long PERIOD_MS = 500;

    private final OperatingSystemMXBean operatingSystem =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private final ScheduledExecutorService sampler = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread thread = new Thread(task, "machine load");
        thread.setDaemon(true);
        return thread;
    });
    private int samples;
    private int busySamples;

    /** Starts sampling. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    void start() {
        operatingSystem.getCpuLoad(); // discards the first value, which has no earlier sample to be measured against
        sampler.scheduleAtFixedRate(this::sample, PERIOD_MS, PERIOD_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void sample() {
        double load = operatingSystem.getCpuLoad();
        if (load >= 0) {
            samples++;
            busySamples += load > RunValidity.BUSY_CPU_LOAD ? 1 : 0;
        }
    }

    /** The share of the samples so far, 0 to 1, in which nearly all processors were busy. */
    synchronized double busyShare() {
        return samples == 0 ? 0 : (double) busySamples / samples;
    }

    @Override
    public void close() {
        sampler.shutdownNow();
    }
}
