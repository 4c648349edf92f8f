package cacheproxy.discovery;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** Simulates a zone of proxies, their discovery and the datagrams between the proxies. */
final class SimulatedZone {
    private static final double STEP_MS = 20;

    final List<DelegatedWatch> watches = new ArrayList<>();
    final boolean[] longPolling;
    final long[] versionOf;
    /** Proxies whose long poll no longer delivers changes. */
    final boolean[] silent;

    final boolean[] dead;
    final double[] staleSinceMs;
    final PriorityQueue<Datagram> datagrams =
            new PriorityQueue<>(Comparator.comparingDouble(Datagram::atMs).thenComparingLong(Datagram::number));
    final SplittableRandom random = new SplittableRandom(1);
    int holder;
    long epoch = 1;
    long version = 1;
    double nowMs;
    double lossRate;
    double maxDelayMs = 5;
    long datagramsSent;
    int polls;
    double maxStalenessMs;

    SimulatedZone(int count) {
        longPolling = new boolean[count];
        versionOf = new long[count];
        silent = new boolean[count];
        dead = new boolean[count];
        staleSinceMs = new double[count];
        for (int i = 0; i < count; i++) {
            longPolling[i] = true;
            staleSinceMs[i] = Double.NaN;
            watches.add(new DelegatedWatch(
                    new SimulatedLease(this, i),
                    DelegatedWatchTest.TIMING,
                    new SplittableRandom(i),
                    new SimulatedActions(this, i)));
        }
    }

    void updateList(int proxy) {
        if (versionOf[proxy] < version) {
            versionOf[proxy] = version;
            watches.get(proxy).listVersionChanged(nowMs, version);
        }
    }

    void runUntil(double ms) {
        while (nowMs < ms) {
            double next = Math.min(ms, nowMs + STEP_MS);
            nowMs = datagrams.isEmpty() ? next : Math.max(nowMs, Math.min(next, datagrams.peek().atMs));
            deliverDatagrams();
            for (int i = 0; i < watches.size(); i++) {
                if (!dead[i]) {
                    step(i);
                }
            }
        }
    }

    private void deliverDatagrams() {
        while (!datagrams.isEmpty() && datagrams.peek().atMs <= nowMs) {
            Datagram datagram = datagrams.poll();
            if (!dead[datagram.to]) {
                watches.get(datagram.to).received(nowMs, datagram.from + 1, datagram.message);
            }
        }
    }

    private void step(int proxy) {
        watches.get(proxy).tick(nowMs);
        if (longPolling[proxy] && !silent[proxy] && versionOf[proxy] < version) {
            polls++;
            updateList(proxy);
        }
        if (versionOf[proxy] >= version) {
            staleSinceMs[proxy] = Double.NaN;
        } else if (Double.isNaN(staleSinceMs[proxy])) {
            staleSinceMs[proxy] = nowMs;
        } else {
            maxStalenessMs = Math.max(maxStalenessMs, nowMs - staleSinceMs[proxy]);
        }
    }

    int countLongPolling() {
        int count = 0;
        for (boolean polling : longPolling) {
            count += polling ? 1 : 0;
        }
        return count;
    }

    /** A message in flight; proxies are identified by their index. */
    private record Datagram(double atMs, long number, int from, int to, WatchVersionMessage message) {}

    /** The zone's lease as known to one proxy. */
    private record SimulatedLease(SimulatedZone zone, int self) implements LeaseHandle {
        @Override
        public long permit(double atMs, double actionMs) {
            return zone.holder == self ? zone.epoch : -1;
        }

        @Override
        public double remainingMs(double atMs) {
            return 0;
        }

        @Override
        public long holder(double atMs) {
            return zone.holder + 1L;
        }

        @Override
        public List<Long> candidateOrder() {
            return List.of();
        }

        @Override
        public long id() {
            return NameHash.of("watch.a.pages");
        }
    }

    /** Performs the actions of one proxy's watch; its messages may be lost or delayed. */
    private record SimulatedActions(SimulatedZone zone, int self) implements DelegatedWatchActions {
        @Override
        public void send(WatchVersionMessage message) {
            for (int to = 0; to < zone.watches.size(); to++) {
                if (to != self) {
                    send(to + 1L, message);
                }
            }
        }

        @Override
        public void send(long to, WatchVersionMessage message) {
            if (zone.random.nextDouble() >= zone.lossRate) {
                zone.datagrams.add(new Datagram(
                        zone.nowMs + zone.random.nextDouble() * zone.maxDelayMs,
                        zone.datagramsSent++,
                        self,
                        (int) to - 1,
                        WatchVersionMessage.decode(message.encode())));
            }
        }

        @Override
        public void setLongPolling(boolean enabled) {
            zone.longPolling[self] = enabled;
            zone.polls += enabled ? 1 : 0;
            if (enabled) {
                zone.updateList(self);
            }
        }

        @Override
        public void pollOnce() {
            zone.polls++;
            zone.updateList(self);
        }
    }
}
