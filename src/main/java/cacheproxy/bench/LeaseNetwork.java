package cacheproxy.bench;

import cacheproxy.fleet.lease.LeaseListener;
import cacheproxy.fleet.lease.LeaseManager;
import cacheproxy.fleet.lease.LeaseMessage;
import cacheproxy.fleet.lease.LeaseTiming;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.lease.VoterSet;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/**
 * Real {@link LeaseManager}s that exchange messages on a virtual clock, all of them candidates for all leases. Messages
 * arrive after 0.2 to 1.2 ms and none is lost. Single-threaded.
 */
final class LeaseNetwork {
    private static final double LEASE_MS = 1000;
    private static final double TICK_MS = 20;
    private static final double MIN_TICK_MS = 1;
    private static final double MIN_LATENCY_MS = 0.2;
    private static final double MAX_LEASE_MS = 3000;
    private static final int VOTERS = 5;
    private static final int MEASURED_PEER = 0;

    private record Delivery(double atMs, long sequence, int from, int to, LeaseMessage message) {
        private static final Comparator<Delivery> ORDER =
                Comparator.comparingDouble(Delivery::atMs).thenComparingLong(Delivery::sequence);
    }

    private record Tick(double atMs, int peer) {}

    /**
     * What has happened so far.
     *
     * @param sent messages of all peers
     * @param gained leases that peers have got
     * @param lost leases that peers have lost
     * @param calls measured calls of the first peer, with the time and the garbage that they took
     */
    record Counters(long sent, int gained, int lost, long calls, long nanos, long garbageBytes) {
        /** What has happened since earlier counters. */
        Counters since(Counters earlier) {
            return new Counters(
                    sent - earlier.sent,
                    gained - earlier.gained,
                    lost - earlier.lost,
                    calls - earlier.calls,
                    nanos - earlier.nanos,
                    garbageBytes - earlier.garbageBytes);
        }
    }

    private final List<LeaseManager> peers = new ArrayList<>();
    private final Map<Long, Integer> peerByHash = new HashMap<>();
    private final PriorityQueue<Delivery> deliveries = new PriorityQueue<>(Delivery.ORDER);
    private final PriorityQueue<Tick> ticks = new PriorityQueue<>(Comparator.comparingDouble(Tick::atMs));
    private final SplittableRandom random;
    private double nowMs;
    private long sent;
    private int gained;
    private int lost;
    private long measuredCalls;
    private long measuredNanos;
    private long measuredGarbageBytes;

    /** Creates peers that campaign for so many leases from time 0 on. */
    LeaseNetwork(int peerCount, int leases, long seed) {
        random = new SplittableRandom(seed);
        List<String> names = new ArrayList<>();
        for (int i = 0; i < peerCount; i++) {
            names.add(peerName(i));
            peerByHash.put(NameHash.of(peerName(i)), i);
        }
        List<VoterSet> voters = new ArrayList<>();
        for (int lease = 0; lease < leases; lease++) {
            voters.add(new VoterSet(leaseName(lease), names, List.of(), VOTERS));
        }
        for (int peer = 0; peer < peerCount; peer++) {
            LeaseTiming timing = new LeaseTiming(MAX_LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT);
            LeaseManager manager = new LeaseManager(names.get(peer), timing, random.split(), 0, new PeerListener(peer));
            for (int lease = 0; lease < leases; lease++) {
                manager.campaign(leaseName(lease), LEASE_MS, voters.get(lease), 0);
            }
            ticks.add(new Tick(random.nextDouble() * TICK_MS, peer));
            peers.add(manager);
        }
    }

    private static String peerName(int peer) {
        return "p" + peer;
    }

    private static String leaseName(int lease) {
        return "d" + lease;
    }

    /** Sends a peer's messages and counts its leases. */
    private final class PeerListener implements LeaseListener {
        private final int peer;

        PeerListener(int peer) {
            this.peer = peer;
        }

        @Override
        public void send(long to, LeaseMessage message) {
            sent++;
            double arrivalMs = nowMs + MIN_LATENCY_MS + random.nextDouble();
            deliveries.add(new Delivery(arrivalMs, sent, peer, peerByHash.get(to), message));
        }

        @Override
        public void gained(String lease, long epoch) {
            gained++;
        }

        @Override
        public void lost(String lease, long epoch, String reason) {
            lost++;
        }
    }

    /** The counters up to now. */
    Counters counters() {
        return new Counters(sent, gained, lost, measuredCalls, measuredNanos, measuredGarbageBytes);
    }

    /** Runs until a time; peers tick only when something is due. */
    void runUntil(double endMs) {
        run(endMs, false);
    }

    /** Runs until a time with ticks as often as a daemon makes them, and measures the first peer's calls. */
    void runMeasuredUntil(double endMs) {
        run(endMs, true);
    }

    private void run(double endMs, boolean measured) {
        while (nowMs < endMs) {
            Delivery delivery = deliveries.peek();
            Tick tick = ticks.peek();
            boolean delivers = delivery != null && delivery.atMs <= tick.atMs;
            nowMs = delivers ? delivery.atMs : tick.atMs;
            int peer = delivers ? delivery.to : tick.peer;
            boolean measuresCall = measured && peer == MEASURED_PEER;
            long garbageBefore = measuresCall ? ThreadCounters.allocatedBytes() : 0;
            long nanosBefore = measuresCall ? System.nanoTime() : 0;
            double nextDueMs = 0;
            if (delivers) {
                deliver(deliveries.poll());
            } else {
                ticks.poll();
                nextDueMs = peers.get(peer).tick(nowMs, (long) nowMs);
            }
            if (measuresCall) {
                measuredNanos += System.nanoTime() - nanosBefore;
                measuredGarbageBytes += ThreadCounters.allocatedBytes() - garbageBefore;
                measuredCalls++;
            }
            if (!delivers) {
                double nextMs = Math.max(nextDueMs, nowMs + MIN_TICK_MS);
                ticks.add(new Tick(measured ? Math.min(nextMs, nowMs + TICK_MS) : nextMs, peer));
            }
        }
    }

    private void deliver(Delivery delivery) {
        long from = NameHash.of(peerName(delivery.from));
        peers.get(delivery.to).receive(nowMs, from, delivery.message, (long) nowMs);
    }
}
