package cacheproxy.bench;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.quota.LocalQuota;
import cacheproxy.fleet.quota.QuotaManager;
import cacheproxy.fleet.quota.QuotaSpec;
import cacheproxy.fleet.quota.QuotaTiming;
import cacheproxy.simulation.QuotaSimulation;
import cacheproxy.simulation.QuotaSimulation.Fault;
import cacheproxy.simulation.QuotaSimulation.FaultKind;
import cacheproxy.simulation.QuotaSimulation.Plan;
import cacheproxy.simulation.QuotaSimulation.Result;
import cacheproxy.simulation.QuotaSimulation.Scheme;
import com.sun.management.ThreadMXBean;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

/** Ways of sharing a limit beside one another, on virtual time, and what taking from one costs. */
final class QuotaBench {
    private static final QuotaTiming RULES = new QuotaTiming(1000, 0.01);
    private static final double FOR_MS = 16_000;
    private static final int TAKES = 2_000_000;

    private final PrintWriter out;

    QuotaBench(PrintWriter out) {
        this.out = out;
    }

    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    private record Case(String name, double[][] offered, List<Fault> faults) {}

    void run(int rounds) {
        out.println(
                "limits: over by requests in 1 s (bound), part idle while as much is refused from 3 s on, messages a second a proxy; means of "
                        + rounds + " seeds");
        for (int n : new int[] {8, 50, 200, 1000}) {
            double amount = Math.max(200, 10 * n);
            for (QuotaSpec.IsolationPolicy alone : n > 200
                    ? new QuotaSpec.IsolationPolicy[] {QuotaSpec.IsolationPolicy.SHARE}
                    : new QuotaSpec.IsolationPolicy[] {QuotaSpec.IsolationPolicy.SHARE, QuotaSpec.IsolationPolicy.NONE
                    }) {
                QuotaSpec l = new QuotaSpec("l", false, amount, amount / 10, alone, 1, 0);
                out.printf(
                        Locale.ROOT,
                        "%d proxies, %.0f a second, three times that wanted, alone: %s; bound %.1f%n",
                        n,
                        amount,
                        alone,
                        QuotaSimulation.maxOvershoot(l, RULES, n, 1000));
                for (Case c : cases(n, amount)) {
                    StringBuilder line = new StringBuilder(String.format("  %-22s", c.name));
                    for (Scheme w : Scheme.values()) {
                        if ((n > 50 && (w == Scheme.PEERS || w == Scheme.GOSSIP))
                                || (alone == QuotaSpec.IsolationPolicy.NONE && w != Scheme.DEALER)) {
                            continue;
                        }
                        Result[] r = IntStream.rangeClosed(1, rounds)
                                .parallel()
                                .mapToObj(seed -> QuotaSimulation.run(
                                        new Plan(w, n, l, RULES, c.offered, 1000, 0, FOR_MS, c.faults, seed)))
                                .toArray(Result[]::new);
                        line.append(String.format(
                                Locale.ROOT,
                                " %s %.0f, %.3f (%.3f to %.3f), %.1f;",
                                w.name().toLowerCase(Locale.ROOT),
                                Arrays.stream(r)
                                        .mapToDouble(x -> x.overshoot()[1])
                                        .max()
                                        .orElse(0),
                                Arrays.stream(r)
                                        .mapToDouble(Result::idleFraction)
                                        .average()
                                        .orElse(0),
                                Arrays.stream(r)
                                        .mapToDouble(Result::idleFraction)
                                        .min()
                                        .orElse(0),
                                Arrays.stream(r)
                                        .mapToDouble(Result::idleFraction)
                                        .max()
                                        .orElse(0),
                                Arrays.stream(r)
                                        .mapToDouble(Result::messagesPerSecond)
                                        .average()
                                        .orElse(0)));
                    }
                    out.println(line);
                    out.flush();
                }
            }
        }
        takes();
        many();
    }

    private static List<Case> cases(int n, double amount) {
        double[] even = new double[n];
        Arrays.fill(even, 3 * amount / n);
        double[] one = new double[n];
        one[0] = 3 * amount;
        double[] last = new double[n];
        last[n - 1] = 3 * amount;
        double[] skew = new double[n];
        double sum = 0;
        for (int i = 0; i < n; i++) {
            sum += 1.0 / (i + 1);
        }
        for (int i = 0; i < n; i++) {
            skew[i] = 3 * amount / sum / (i + 1);
        }
        List<Integer> half = IntStream.range(0, n / 2).boxed().toList();
        List<Integer> seven = IntStream.range(0, n * 7 / 10).boxed().toList();
        List<Case> cases = new ArrayList<>(List.of(
                new Case("even", new double[][] {even}, List.of()),
                new Case("all at one", new double[][] {one}, List.of()),
                new Case("at another each second", new double[][] {one, last}, List.of()),
                new Case("as 1/i", new double[][] {skew}, List.of()),
                new Case(
                        "dealer killed",
                        new double[][] {even},
                        List.of(new Fault(FaultKind.KILL, 5000, 4000, List.of(0), 0))),
                new Case(
                        "dealer stops for 1 s",
                        new double[][] {even},
                        List.of(new Fault(FaultKind.PAUSE, 5000, 1000, List.of(0), 0))),
                new Case(
                        "split in two for 6 s",
                        new double[][] {skew},
                        List.of(new Fault(FaultKind.PARTITION, 5000, 6000, half, 0))),
                new Case(
                        "30% lost",
                        new double[][] {skew}, List.of(new Fault(FaultKind.LOSE, 0, FOR_MS, List.of(), 0.3))),
                new Case(
                        "7 in 10 restarted",
                        new double[][] {even},
                        List.of(new Fault(FaultKind.KILL, 5000, 1500, seven, 0)))));
        return cases;
    }

    // ---- what it costs

    private static QuotaManager quota(int limits, int peers, long[] sent) {
        QuotaManager q = new QuotaManager(1, RULES, new SplittableRandom(1), -1e6, peer -> true, (to, m) -> sent[0]++);
        List<QuotaSpec> all = new ArrayList<>();
        for (int i = 0; i < limits; i++) {
            all.add(new QuotaSpec("l" + i, false, 1e6, 1e5, QuotaSpec.IsolationPolicy.SHARE, 1, 0));
        }
        q.configure(
                all,
                List.of(LeaseHandle.UNHELD),
                IntStream.rangeClosed(1, peers).mapToObj(i -> (long) i).toList(),
                peers,
                false,
                true,
                0);
        return q;
    }

    private void takes() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long id = Thread.currentThread().getId();
        double[] nanos = new double[7];
        double[] bytes = new double[7];
        QuotaManager q = quota(1, 8, new long[1]);
        LocalQuota p = q.localQuota("l0");
        double now = 0;
        for (int round = 0; round < nanos.length; round++) {
            long before = threads.getThreadAllocatedBytes(id);
            long from = System.nanoTime();
            for (int i = 0; i < TAKES; i++) {
                now += 0.02;
                if (p.requestWaitMs(now) == 0) {
                    p.consume();
                    p.release();
                }
            }
            nanos[round] = (double) (System.nanoTime() - from) / TAKES;
            bytes[round] = (double) (threads.getThreadAllocatedBytes(id) - before) / TAKES;
        }
        Arrays.sort(nanos);
        Arrays.sort(bytes);
        out.printf(
                Locale.ROOT,
                "a take: %.0f ns (%.0f to %.0f), %.2f bytes of garbage%n",
                nanos[3],
                nanos[0],
                nanos[6],
                bytes[3]);
    }

    private void many() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long id = Thread.currentThread().getId();
        long[] sent = new long[1];
        long before = threads.getThreadAllocatedBytes(id);
        QuotaManager q = quota(QuotaManager.MAX_QUOTAS, 8, sent);
        long made = threads.getThreadAllocatedBytes(id) - before;
        double now = 0;
        long from = System.nanoTime();
        int ticks = 0;
        for (; now < 20_000; now += 20, ticks++) {
            for (int i = 0; i < 100; i++) {
                q.localQuota("l" + i).requestWaitMs(now);
            }
            q.tick(now);
        }
        out.printf(
                Locale.ROOT,
                "1,000 limits, 100 of them in use, 8 peers: %.1f us a tick of 20 ms, %.1f datagrams a second, %d KB made at the start%n",
                (System.nanoTime() - from) / 1e3 / ticks,
                sent[0] * 1000 / now,
                made >> 10);
    }
}
