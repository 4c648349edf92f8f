package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Which proxies announce a version, and how many messages a change takes in a fleet. */
class VersionGossipTest {
    private final VersionGossip gossip = new VersionGossip();

    @Test
    void announcesEachVersionOnce() {
        assertThat(gossip.takeMessage(41)).isNull();
        gossip.versionChanged();
        byte[] message = gossip.takeMessage(41);
        assertThat(VersionGossip.isVersionMessage(message)).isTrue();
        assertThat(VersionGossip.decodeVersion(message)).isEqualTo(41);
        assertThat(gossip.takeMessage(41)).isNull();
    }

    @Test
    void suppressesAnnouncementHeardFromTwoPeers() {
        gossip.received(3, 42);
        gossip.versionChanged();
        gossip.received(5, 42);
        assertThat(gossip.takeMessage(42)).isNull();
    }

    @Test
    void announcesUnlessTwoPeersSentThisVersion() {
        gossip.versionChanged();
        gossip.received(3, 42);
        gossip.received(3, 42); // duplicated datagram
        assertThat(gossip.takeMessage(42)).isNotNull();
        gossip.versionChanged();
        gossip.received(4, 42);
        gossip.received(5, 42);
        assertThat(gossip.takeMessage(43)).isNotNull();
        gossip.versionChanged();
        gossip.received(4, Long.MAX_VALUE); // a false version must not suppress a true one
        gossip.received(5, Long.MAX_VALUE);
        assertThat(gossip.takeMessage(44)).isNotNull();
    }

    @Test
    void rejectsTruncatedAndForeignMessages() {
        assertThat(VersionGossip.isVersionMessage(new byte[0])).isFalse();
        assertThat(VersionGossip.isVersionMessage(new byte[VersionGossip.MESSAGE_BYTES]))
                .isFalse();
        assertThat(VersionGossip.isVersionMessage(new byte[] {'V', 0, 0, 0})).isFalse();
        assertThat(VersionGossip.isVersionMessage(new byte[256])).isFalse();
    }

    private record Event(double atMs, Runnable action) {}

    /**
     * In a fleet of 72 proxies, all except those with a silent long poll receive a change within 1.5 s. Three in ten
     * messages are lost; the others take up to 30 ms.
     */
    @Test
    void spreadsChangeToAllProxiesWithFewMessages() {
        for (int silentCount : new int[] {0, 12, 60}) {
            SplittableRandom random = new SplittableRandom(silentCount);
            PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::atMs));
            int proxyCount = 72;
            SilentWatchDetector[] detectors = new SilentWatchDetector[proxyCount];
            VersionGossip[] gossips = new VersionGossip[proxyCount];
            int[] sent = {0};
            for (int proxy = 0; proxy < proxyCount; proxy++) {
                int self = proxy;
                detectors[proxy] = new SilentWatchDetector(3500, 1000, 0);
                detectors[proxy].listReceived(41, true, List.of());
                gossips[proxy] = new VersionGossip();
                if (proxy < silentCount) {
                    continue;
                }
                double changedAtMs = random.nextDouble() * 1500;
                events.add(new Event(changedAtMs, gossips[self]::versionChanged));
                events.add(new Event(changedAtMs + 300.0 * proxy / proxyCount, () -> {
                    byte[] message = gossips[self].takeMessage(42);
                    sent[0] += message == null ? 0 : 1;
                    for (int to = 0; message != null && to < gossips.length; to++) {
                        int other = to;
                        double receivedAtMs =
                                changedAtMs + 300.0 * self / gossips.length + 3.6 + random.nextDouble() * 26.4;
                        if (to != self && random.nextInt(10) >= 3) {
                            events.add(new Event(receivedAtMs, () -> {
                                gossips[other].received(self, VersionGossip.decodeVersion(message));
                                detectors[other].versionClaimed(receivedAtMs, VersionGossip.decodeVersion(message));
                            }));
                        }
                    }
                }));
            }
            while (!events.isEmpty()) {
                events.poll().action().run();
            }
            for (int proxy = 0; proxy < silentCount; proxy++) {
                assertThat(detectors[proxy].nextPollAtMs())
                        .as("proxy " + proxy + " of " + silentCount)
                        .isLessThan(3000);
            }
            assertThat(sent[0]).as("messages, " + silentCount + " silent").isBetween(2, 16);
        }
    }
}
