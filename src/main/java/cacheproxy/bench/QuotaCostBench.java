package cacheproxy.bench;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.fleet.quota.QuotaManager;
import cacheproxy.fleet.quota.QuotaSpec;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.LongStream;

/** What quotas cost one proxy: a request that is admitted, and ticks with many quotas. */
final class QuotaCostBench {
    private static final int REQUESTS = 2_000_000;
    private static final double REQUEST_INTERVAL_MS = 0.02;
    private static final int ROUNDS = 7;
    private static final int PEERS = 8;
    private static final int USED_QUOTAS = 100;
    private static final double TICKS_END_MS = 20_000;
    private static final double TICK_MS = 20;

    private final PrintWriter out;

    QuotaCostBench(PrintWriter out) {
        this.out = out;
    }

    /** Prints a line for each of both. */
    void run() {
        measureRequests();
        measureTicks();
    }

    private static QuotaManager manager(int quotas, AtomicLong sent) {
        QuotaManager manager = new QuotaManager(
                1,
                QuotaBench.TIMING,
                new SplittableRandom(1),
                -1e6,
                peer -> true,
                (to, message) -> sent.incrementAndGet());
        List<QuotaSpec> specs = new ArrayList<>();
        for (int i = 0; i < quotas; i++) {
            specs.add(new QuotaSpec(name(i), false, 1e6, 1e5, QuotaSpec.IsolationPolicy.SHARE, 1, 0));
        }
        List<Long> peers = LongStream.rangeClosed(1, PEERS).boxed().toList();
        manager.configure(specs, List.of(LeaseHandle.UNHELD), peers, PEERS, false, true, 0);
        return manager;
    }

    private static String name(int quota) {
        return "l" + quota;
    }

    private void measureRequests() {
        double[] nanos = new double[ROUNDS];
        double[] garbageBytes = new double[ROUNDS];
        LocalQuota quota = manager(1, new AtomicLong()).localQuota(name(0));
        double nowMs = 0;
        for (int round = 0; round < ROUNDS; round++) {
            long allocatedBefore = ThreadCounters.allocatedBytes();
            long start = System.nanoTime();
            for (int i = 0; i < REQUESTS; i++) {
                nowMs += REQUEST_INTERVAL_MS;
                if (quota.admissionWaitMs(nowMs) == 0) {
                    quota.consume();
                    quota.release();
                }
            }
            nanos[round] = (double) (System.nanoTime() - start) / REQUESTS;
            garbageBytes[round] = (double) (ThreadCounters.allocatedBytes() - allocatedBefore) / REQUESTS;
        }
        Spread spread = Spread.range(nanos);
        out.printf(
                Locale.ROOT,
                "a take: %.0f ns (%.0f to %.0f), %.2f bytes of garbage%n",
                spread.median(),
                spread.low(),
                spread.high(),
                Spread.range(garbageBytes).median());
    }

    private void measureTicks() {
        AtomicLong sent = new AtomicLong();
        long allocatedBefore = ThreadCounters.allocatedBytes();
        QuotaManager manager = manager(QuotaManager.MAX_QUOTAS, sent);
        long allocated = ThreadCounters.allocatedBytes() - allocatedBefore;
        double nowMs = 0;
        int ticks = 0;
        long start = System.nanoTime();
        while (nowMs < TICKS_END_MS) {
            for (int i = 0; i < USED_QUOTAS; i++) {
                manager.localQuota(name(i)).admissionWaitMs(nowMs);
            }
            manager.tick(nowMs);
            nowMs += TICK_MS;
            ticks++;
        }
        out.printf(
                Locale.ROOT,
                "1,000 limits, 100 of them in use, 8 peers: %.1f us a tick of 20 ms, %.1f datagrams a second, %d KB made at the start%n",
                (System.nanoTime() - start) / 1e3 / ticks,
                sent.get() * 1000 / nowMs,
                allocated >> 10);
    }
}
