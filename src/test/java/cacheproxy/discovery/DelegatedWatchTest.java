package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** {@link DelegatedWatch} of several proxies on virtual time, with a discovery whose version grows. */
class DelegatedWatchTest {
    private static final DelegatedWatchTiming TIMING = new DelegatedWatchTiming(1000, 3000, 30_000, 300);

    private record Datagram(double atMs, long number, int from, int to, WatchVersionMessage message) {}

    /** A zone of proxies with their discovery and the datagrams between them. */
    private static final class SimulatedZone {
        private static final double STEP_MS = 20;

        final List<DelegatedWatch> watches = new ArrayList<>();
        final boolean[] longPolling;
        final long[] versionOf;
        /** Proxies whose long poll no longer delivers changes. */
        final boolean[] silent;

        final boolean[] dead;
        final double[] behindSinceMs;
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
        double longestBehindMs;

        SimulatedZone(int count) {
            longPolling = new boolean[count];
            versionOf = new long[count];
            silent = new boolean[count];
            dead = new boolean[count];
            behindSinceMs = new double[count];
            for (int i = 0; i < count; i++) {
                longPolling[i] = true;
                behindSinceMs[i] = Double.NaN;
                watches.add(new DelegatedWatch(
                        new SimulatedLease(this, i), TIMING, new SplittableRandom(i), new SimulatedActions(this, i)));
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
                behindSinceMs[proxy] = Double.NaN;
            } else if (Double.isNaN(behindSinceMs[proxy])) {
                behindSinceMs[proxy] = nowMs;
            } else {
                longestBehindMs = Math.max(longestBehindMs, nowMs - behindSinceMs[proxy]);
            }
        }

        int countLongPolling() {
            int count = 0;
            for (boolean polling : longPolling) {
                count += polling ? 1 : 0;
            }
            return count;
        }
    }

    /** The zone's lease as one proxy sees it. */
    private record SimulatedLease(SimulatedZone zone, int self) implements LeaseHandle {
        @Override
        public long permit(double atMs, double actMs) {
            return zone.holder == self ? zone.epoch : -1;
        }

        @Override
        public double leftMs(double atMs) {
            return 0;
        }

        @Override
        public long holder(double atMs) {
            return zone.holder + 1L;
        }

        @Override
        public List<Long> order() {
            return List.of();
        }

        @Override
        public long id() {
            return NameHash.of("watch.a.pages");
        }
    }

    /** Carries out what the watch of one proxy decides; its messages may be lost or delayed. */
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

    @Test
    void oneProxyLongPollsAndManyVersionsCauseFewPolls() {
        SimulatedZone zone = new SimulatedZone(50);
        zone.runUntil(2000);
        assertThat(zone.countLongPolling()).isEqualTo(1);
        int pollsBefore = zone.polls;
        for (int i = 0; i < 100; i++) { // a rolling update: a hundred versions within 5 s
            zone.version++;
            zone.runUntil(zone.nowMs + 50);
        }
        zone.runUntil(zone.nowMs + 1000);
        assertThat(zone.versionOf).containsOnly(zone.version);
        assertThat(zone.longestBehindMs)
                .as("coalescing window and message delay")
                .isLessThan(TIMING.coalescingWindowMs() + 60);
        assertThat(zone.polls - pollsBefore)
                .as("5000 if each proxy long-polled")
                .isLessThan(100 + 49 * 40);
        pollsBefore = zone.polls;
        zone.runUntil(zone.nowMs + 60_000);
        assertThat(zone.polls - pollsBefore)
                .as("occasional polls of the proxies that do not long-poll")
                .isBetween(49, 49 * 3);
    }

    @Test
    void everyProxyLongPollsAtJitteredTimesOnceHeartbeatsStop() {
        SimulatedZone zone = new SimulatedZone(20);
        zone.runUntil(5000);
        zone.dead[0] = true;
        zone.holder = -1;
        zone.version++;
        zone.runUntil(5000 + TIMING.heartbeatTimeoutMs() - TIMING.heartbeatIntervalMs() - 50);
        assertThat(zone.countLongPolling()).as("heartbeats still valid").isEqualTo(1);
        zone.runUntil(5000 + TIMING.heartbeatTimeoutMs());
        assertThat(zone.countLongPolling()).as("jittered timeouts").isBetween(2, 19);
        zone.runUntil(5000 + 1.5 * TIMING.heartbeatTimeoutMs() + 100);
        assertThat(zone.countLongPolling()).isEqualTo(20);
        assertThat(zone.longestBehindMs).isLessThan(1.5 * TIMING.heartbeatTimeoutMs() + 60);
        zone.holder = 3;
        zone.epoch = 2;
        zone.runUntil(zone.nowMs + 1100);
        zone.dead[0] = false;
        zone.longPolling[0] = true;
        zone.runUntil(zone.nowMs + 1100);
        assertThat(zone.countLongPolling()).isEqualTo(1);
        assertThat(zone.longPolling[3]).isTrue();
    }

    /** The occasional poll of another proxy finds the new version, and its correction makes the lease holder poll. */
    @Test
    void leaseHolderWithSilentWatchIsCorrectedByAnotherProxy() {
        SimulatedZone zone = new SimulatedZone(10);
        zone.runUntil(3000);
        zone.silent[0] = true;
        zone.version++;
        zone.runUntil(3000 + TIMING.maxPollIntervalMs() + 3 * TIMING.heartbeatIntervalMs());
        assertThat(zone.versionOf).containsOnly(zone.version);
        assertThat(zone.longestBehindMs).isLessThan(TIMING.maxPollIntervalMs() + 2 * TIMING.heartbeatIntervalMs());
    }

    @Test
    void lostAndDelayedHeartbeatsKeepStalenessWithinPollInterval() {
        for (double delayMs : new double[] {5, 2500}) {
            SimulatedZone zone = new SimulatedZone(12);
            zone.lossRate = 0.6;
            zone.maxDelayMs = delayMs;
            for (int i = 0; i < 100; i++) {
                zone.runUntil(zone.nowMs + 1000);
                zone.version += i % 5 == 0 ? 1 : 0;
            }
            assertThat(zone.longestBehindMs)
                    .as("delayed by up to " + delayMs)
                    .isLessThan(TIMING.maxPollIntervalMs() + 1000);
            zone.lossRate = 0;
            zone.maxDelayMs = 5;
            zone.runUntil(zone.nowMs + 5000);
            assertThat(zone.versionOf).containsOnly(zone.version);
            assertThat(zone.countLongPolling()).isEqualTo(1);
        }
    }

    @Test
    void ignoresHeartbeatsOfOlderEpochRepeatedSequenceOrOtherLease() {
        SimulatedZone zone = new SimulatedZone(3);
        zone.holder = -1;
        DelegatedWatch watch = zone.watches.get(2);
        long leaseId = NameHash.of("watch.a.pages");
        watch.received(0, 1, new WatchVersionMessage(false, leaseId, 5, 1, 7));
        assertThat(watch.shouldLongPoll(100)).isFalse();
        watch.received(2900, 1, new WatchVersionMessage(false, leaseId, 4, 2, 7));
        watch.received(2900, 1, new WatchVersionMessage(false, leaseId, 5, 1, 7)); // repeated
        watch.received(2900, 1, new WatchVersionMessage(false, leaseId + 1, 6, 1, 7));
        assertThat(watch.shouldLongPoll(1.5 * TIMING.heartbeatTimeoutMs() + 1)).isTrue();
        watch.received(2900, 1, new WatchVersionMessage(false, leaseId, 5, 2, 7));
        assertThat(watch.shouldLongPoll(5000)).isFalse();
    }

    @Test
    void announcesVersionsPromptlyAfterDiscoveryRestartsItsNumbering() {
        SimulatedZone zone = new SimulatedZone(5);
        zone.version = 1_000_000;
        zone.runUntil(3000);
        zone.version = 1;
        for (int i = 0; i < 5; i++) { // each has received the whole list with its lower version
            zone.versionOf[i] = 1;
            zone.watches.get(i).listVersionChanged(zone.nowMs, 1);
        }
        zone.runUntil(zone.nowMs + 100);
        int pollsBefore = zone.polls;
        zone.version = 2;
        zone.runUntil(zone.nowMs + TIMING.coalescingWindowMs() + 60);
        assertThat(zone.versionOf).containsOnly(2);
        assertThat(zone.polls - pollsBefore).isLessThanOrEqualTo(5);
    }

    @Test
    void rejectsTruncatedMessagesAndInvalidTiming() {
        WatchVersionMessage message = new WatchVersionMessage(true, 1, 2, 3, 4);
        assertThat(WatchVersionMessage.decode(message.encode())).isEqualTo(message);
        assertThat(WatchVersionMessage.decode(new byte[3])).isNull();
        assertThatThrownBy(() -> new DelegatedWatchTiming(1000, 900, 30_000, 0))
                .isInstanceOf(IllegalArgumentException.class);
    }
}
