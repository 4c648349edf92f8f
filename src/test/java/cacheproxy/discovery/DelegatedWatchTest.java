package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fleet.lease.NameHash;
import org.junit.jupiter.api.Test;

/**
 * Simulates the {@link DelegatedWatch} of several proxies in virtual time, while the version of discovery's list grows.
 */
class DelegatedWatchTest {
    static final DelegatedWatchTiming TIMING = new DelegatedWatchTiming(1000, 3000, 30_000, 300);

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
        assertThat(zone.maxStalenessMs)
                .as("coalescing window and message delay")
                .isLessThan(TIMING.coalescingWindowMs() + 60);
        assertThat(zone.polls - pollsBefore)
                .as("polls during the update; 5000 if each proxy long-polled")
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
        assertThat(zone.maxStalenessMs).isLessThan(1.5 * TIMING.heartbeatTimeoutMs() + 60);
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
        assertThat(zone.maxStalenessMs).isLessThan(TIMING.maxPollIntervalMs() + 2 * TIMING.heartbeatIntervalMs());
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
            assertThat(zone.maxStalenessMs)
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
        for (int i = 0; i < 5; i++) { // each proxy has received the full list with its lower version
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
