package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class VersionGossipTest {
    private final VersionGossip news = new VersionGossip();

    @Test
    void aVersionIsToldOnce() {
        assertThat(news.message(41)).isNull();
        news.told();
        byte[] message = news.message(41);
        assertThat(VersionGossip.is(message)).isTrue();
        assertThat(VersionGossip.version(message)).isEqualTo(41);
        assertThat(news.message(41)).isNull();
    }

    @Test
    void whoHeardItFromTwoOthersBeforeOrAfterSaysNothing() {
        news.heard(3, 42);
        news.told();
        news.heard(5, 42);
        assertThat(news.message(42)).isNull();
    }

    @Test
    void oneOtherAnEarlierVersionOrALaterOneIsNotEnough() {
        news.told();
        news.heard(3, 42);
        news.heard(3, 42); // doubled on its way
        assertThat(news.message(42)).isNotNull();
        news.told();
        news.heard(4, 42);
        news.heard(5, 42);
        assertThat(news.message(43)).isNotNull();
        news.told();
        news.heard(4, Long.MAX_VALUE); // false, and must not silence what is true
        news.heard(5, Long.MAX_VALUE);
        assertThat(news.message(44)).isNotNull();
    }

    @Test
    void whatIsCutOrOfAnotherKindIsNoVersion() {
        assertThat(VersionGossip.is(new byte[0])).isFalse();
        assertThat(VersionGossip.is(new byte[VersionGossip.LENGTH])).isFalse();
        assertThat(VersionGossip.is(new byte[] {'V', 0, 0, 0})).isFalse();
        assertThat(VersionGossip.is(new byte[256])).isFalse();
    }

    private record Event(double at, Runnable run) {}

    /**
     * 72 proxies hear of a change within 1.5 s, but for those whose watch is silent. Three in ten messages are lost,
     * the others take up to 30 ms.
     */
    @Test
    void allLearnOfAChangeByFewMessagesHoweverManyProxiesThereAre() {
        for (int silent : new int[] {0, 12, 60}) {
            SplittableRandom random = new SplittableRandom(silent);
            PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at));
            int proxies = 72;
            SilentWatchDetector[] doubts = new SilentWatchDetector[proxies];
            VersionGossip[] all = new VersionGossip[proxies];
            int[] sent = {0};
            for (int p = 0; p < proxies; p++) {
                int me = p;
                doubts[p] = new SilentWatchDetector(3500, 1000, 0);
                doubts[p].told(41, true, List.of());
                all[p] = new VersionGossip();
                if (p < silent) {
                    continue;
                }
                double told = random.nextDouble() * 1500;
                events.add(new Event(told, all[me]::told));
                events.add(new Event(told + 300.0 * p / proxies, () -> {
                    byte[] message = all[me].message(42);
                    sent[0] += message == null ? 0 : 1;
                    for (int to = 0; message != null && to < all.length; to++) {
                        int other = to;
                        double at = told + 300.0 * me / all.length + 3.6 + random.nextDouble() * 26.4;
                        if (to != me && random.nextInt(10) >= 3) {
                            events.add(new Event(at, () -> {
                                all[other].heard(me, VersionGossip.version(message));
                                doubts[other].claimed(at, VersionGossip.version(message));
                            }));
                        }
                    }
                }));
            }
            while (!events.isEmpty()) {
                events.poll().run().run();
            }
            for (int p = 0; p < silent; p++) {
                assertThat(doubts[p].dueAt()).as("proxy " + p + " of " + silent).isLessThan(3000);
            }
            assertThat(sent[0]).as("messages, " + silent + " silent").isBetween(2, 16);
        }
    }
}
