package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.RunValidity;
import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** How often nearly all processors of the machine were busy, with whatever: looked at every half second. */
final class HostLoad implements AutoCloseable {
    private static final long EVERY_MS = 500;

    private final OperatingSystemMXBean machine = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "machine load");
        t.setDaemon(true);
        return t;
    });
    private int looks;
    private int busy;

    /** Looks from now on. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    void begin() {
        machine.getCpuLoad(); // the first look has nothing to compare with
        thread.scheduleAtFixedRate(this::look, EVERY_MS, EVERY_MS, TimeUnit.MILLISECONDS);
    }

    private synchronized void look() {
        double load = machine.getCpuLoad();
        if (load >= 0) {
            looks++;
            busy += load > RunValidity.BUSY_CPU_LOAD ? 1 : 0;
        }
    }

    /** Share of the looks so far. */
    synchronized double busy() {
        return looks == 0 ? 0 : (double) busy / looks;
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
