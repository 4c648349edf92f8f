package cacheproxy.bench;

import cacheproxy.fleet.lease.LeaseListener;
import cacheproxy.fleet.lease.LeaseManager;
import cacheproxy.fleet.lease.LeaseMessage;
import cacheproxy.fleet.lease.LeaseTiming;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.lease.VoterSet;
import cacheproxy.fleet.peer.DatagramEnvelope;
import com.sun.management.ThreadMXBean;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * What duties cost a proxy where nothing is wrong: datagrams and moves in an hour of virtual time with real
 * {@link LeaseManager} at each peer, and the processor time and garbage of one peer's calls, measured over the same
 * calls.
 */
final class LeaseBench {
    private static final double HOUR_MS = 3_600_000;
    private static final double LEASE_MS = 1000;
    private static final double TICK_MS = 20;
    /** Of a whole datagram: the envelope without a key, and the message. */
    private static final int BYTES =
            DatagramEnvelope.MAX_DATAGRAM_BYTES - DatagramEnvelope.MAX_PAYLOAD_BYTES - 12 + LeaseMessage.LENGTH_BYTES;

    private final PrintWriter out;

    LeaseBench(PrintWriter out) {
        this.out = out;
    }

    private record Mail(double atMs, long n, int from, int to, LeaseMessage m) {}

    private static final class World {
        final List<LeaseManager> peers = new ArrayList<>();
        final Map<Long, Integer> byId = new HashMap<>();
        final PriorityQueue<Mail> mail = new PriorityQueue<>(
                (a, b) -> a.atMs != b.atMs ? Double.compare(a.atMs, b.atMs) : Long.compare(a.n, b.n));
        final double[] due;
        final SplittableRandom random;
        double now;
        long sent;
        int gains;
        int losses;
        long nanos;
        long garbage;
        long calls;

        World(int count, int duties, long seed) {
            random = new SplittableRandom(seed);
            due = new double[count];
            List<String> names = new ArrayList<>();
            for (int i = 0; i < count; i++) {
                names.add("p" + i);
                byId.put(NameHash.of("p" + i), i);
            }
            List<VoterSet> electorates = new ArrayList<>();
            for (int d = 0; d < duties; d++) {
                electorates.add(new VoterSet("d" + d, names, List.of(), 5));
            }
            for (int i = 0; i < count; i++) {
                int me = i;
                LeaseManager own = new LeaseManager(
                        names.get(i),
                        new LeaseTiming(3000, LeaseTiming.MAX_CLOCK_DRIFT),
                        random.split(),
                        0,
                        new LeaseListener() {
                            @Override
                            public void send(long to, LeaseMessage m) {
                                sent++;
                                mail.add(new Mail(now + 0.2 + random.nextDouble(), sent, me, byId.get(to), m));
                            }

                            @Override
                            public void gained(String duty, long epoch) {
                                gains++;
                            }

                            @Override
                            public void lost(String duty, long epoch, String why) {
                                losses++;
                            }
                        });
                for (int d = 0; d < duties; d++) {
                    own.campaign("d" + d, LEASE_MS, electorates.get(d), 0);
                }
                due[i] = random.nextDouble() * TICK_MS;
                peers.add(own);
            }
        }

        /** Plays until a time; what the first peer's calls take is measured if asked for. */
        void until(double ms, ThreadMXBean threads) {
            PriorityQueue<double[]> ticks = new PriorityQueue<>((a, b) -> Double.compare(a[0], b[0]));
            for (int i = 0; i < peers.size(); i++) {
                ticks.add(new double[] {Math.max(now, due[i]), i});
            }
            long me = Thread.currentThread().getId();
            while (now < ms) {
                Mail m = mail.peek();
                double[] t = ticks.peek();
                now = Math.min(m == null ? Double.POSITIVE_INFINITY : m.atMs, t[0]);
                boolean isMail = m != null && m.atMs <= t[0];
                int who = isMail ? m.to : (int) t[1];
                boolean measured = threads != null && who == 0;
                long garbageBefore = measured ? threads.getThreadAllocatedBytes(me) : 0;
                long before = measured ? System.nanoTime() : 0;
                double next = 0;
                if (isMail) {
                    mail.poll();
                    peers.get(who).receive(now, NameHash.of("p" + m.from), m.m, (long) now);
                } else {
                    ticks.poll();
                    next = peers.get(who).tick(now, (long) now);
                }
                if (measured) {
                    nanos += System.nanoTime() - before;
                    garbage += threads.getThreadAllocatedBytes(me) - garbageBefore;
                    calls++;
                }
                if (!isMail) {
                    // Without measuring, only when something is due: the same calls but those that do nothing.
                    due[who] = threads != null
                            ? Math.min(Math.max(next, now + 1), now + TICK_MS)
                            : Math.max(next, now + 1);
                    ticks.add(new double[] {due[who], who});
                }
            }
        }
    }

    void run(int rounds) {
        out.printf(
                "%-20s %16s %16s %14s %12s%n",
                "peers, duties", "datagrams/s each", "bytes/s each", "moves an hour", "without");
        for (int[] size : new int[][] {{5, 1}, {5, 7}, {100, 7}, {100, 200}, {500, 7}}) {
            World w = new World(size[0], size[1], 1);
            w.until(60_000, null);
            int gains = w.gains;
            long sent = w.sent;
            int held = w.gains - w.losses;
            double span = size[1] > 50 ? HOUR_MS / 10 : HOUR_MS;
            w.until(60_000 + span, null);
            double each = (w.sent - sent) / span * 1000 / size[0];
            out.printf(
                    "%-20s %16.2f %16.0f %14d %12s%n",
                    size[0] + ", " + size[1] + (span < HOUR_MS ? " (6 min)" : ""),
                    each,
                    each * BYTES,
                    w.gains - gains,
                    (size[1] - held) + " unheld");
            out.flush();
        }
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        out.printf("%-20s %20s %20s %20s%n", "peers, duties", "ns a call", "us of loop a second", "garbage bytes/s");
        for (int[] size : new int[][] {{5, 1}, {5, 7}, {100, 7}, {100, 200}}) {
            double[][] figures = new double[3][rounds];
            for (int r = 0; r < rounds; r++) {
                World w = new World(size[0], size[1], r + 1);
                w.until(20_000, threads);
                long nanos = w.nanos;
                long garbage = w.garbage;
                long calls = w.calls;
                w.until(50_000, threads);
                figures[0][r] = (double) (w.nanos - nanos) / (w.calls - calls);
                figures[1][r] = (w.nanos - nanos) / 30e3;
                figures[2][r] = (w.garbage - garbage) / 30.0;
            }
            out.printf(
                    "%-20s %20s %20s %20s%n",
                    size[0] + ", " + size[1], spread(figures[0]), spread(figures[1]), spread(figures[2]));
            out.flush();
        }
    }

    private static String spread(double[] all) {
        java.util.Arrays.sort(all);
        return String.format("%.0f (%.0f-%.0f)", all[all.length / 2], all[0], all[all.length - 1]);
    }
}
