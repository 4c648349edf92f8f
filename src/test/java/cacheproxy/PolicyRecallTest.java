package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedHotKeys;
import cacheproxy.snapshot.state.LearnedLatency;
import cacheproxy.snapshot.state.LearnedLoad;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** What the module tells of what it has learned, and what it makes of what it is told. */
class PolicyRecallTest {
    private static Rig rig(int servers) {
        return new Rig(Rig.withoutProbes(Rig.settings(true, false, true, DeduplicationScope.ALL))).fleet(servers);
    }

    private static LearnedState bad(double shunnedForMs, int... ids) {
        List<LearnedServer> servers = new ArrayList<>();
        for (int id : ids) {
            servers.add(new LearnedServer(id, 0, 3, shunnedForMs, 0));
        }
        return new LearnedState(
                servers,
                LearnedState.NONE.latency(),
                LearnedState.NONE.originLoad(),
                LearnedState.NONE.serverLoad(),
                LearnedState.NONE.hotKeys());
    }

    /** The servers that these reads go to first. */
    private static Set<Integer> firsts(Rig rig, int from, int count) {
        Set<Integer> at = new HashSet<>();
        for (int i = from; i < from + count; i++) {
            int before = rig.placed.size();
            rig.read(i, 1000L + i);
            at.add(rig.placed.get(before).server());
            rig.endAfter(rig.placed.get(before), AttemptOutcome.OK, 5);
        }
        return at;
    }

    @Test
    void whatAServerDidIsToldAndKeepsASuccessorFromIt() {
        Rig first = rig(4);
        first.read(1, 7);
        int slow = first.last().server();
        first.end(first.last(), AttemptOutcome.TIMEOUT);
        first.endAfter(first.last(), AttemptOutcome.OK, 5);
        LearnedState told = first.policy.learnedState(first.now, 10);
        assertThat(told.servers()).singleElement().satisfies(s -> {
            assertThat(s.id()).isEqualTo(slow);
            assertThat(s.failures()).isPositive();
            assertThat(s.ejectedForMs()).isPositive();
        });
        Rig next = rig(4);
        next.policy.restore(next.now, told);
        assertThat(firsts(next, 1, 60)).doesNotContain(slow).hasSize(3);
        assertThat(next.policy.learnedState(next.now, 10).servers())
                .as("handed on")
                .isEqualTo(told.servers());
        assertThat(firsts(rig(4), 1, 60)).as("without it").contains(slow);
    }

    @Test
    void whenItsTimeIsOverOneRequestTriesItAndItsAnswerClearsIt() {
        Rig rig = rig(4);
        rig.policy.restore(rig.now, bad(500, 2));
        assertThat(firsts(rig, 1, 60)).doesNotContain(2);
        rig.pass(501);
        rig.placed.clear();
        for (int i = 100; i < 160; i++) {
            rig.read(i, 1000 + i); // no answers yet
        }
        assertThat(rig.placed.stream().filter(p -> p.server() == 2))
                .as("one trial")
                .hasSize(1);
        rig.endAfter(
                rig.placed.stream().filter(p -> p.server() == 2).findFirst().orElseThrow(), AttemptOutcome.OK, 5);
        assertThat(firsts(rig, 200, 60)).contains(2);
        assertThat(rig.policy.learnedState(rig.now, 10).servers()).isEmpty();
    }

    @Test
    void nobodyCanMakeItLeaveAServerOutForLongerThanItWouldItself() {
        Rig rig = rig(4);
        rig.policy.restore(rig.now, bad(1e14, 2));
        rig.pass(10 * 100 * 8 + 1); // ten times the connect timeout, doubled three times
        assertThat(firsts(rig, 1, 100)).contains(2);
    }

    @Test
    void itHoldsForTheSameProcessOnTheListAndNotAgainstWhatWasSeenSince() {
        Rig rig = rig(4);
        rig.change(Rig.member(3, EndpointState.READY, 500));
        rig.policy.restore(
                rig.now, bad(8000, 3, 77, Rig.ORIGIN)); // 3 has restarted, 77 is not there, the origin is no choice
        rig.pass(10_000);
        assertThat(firsts(rig, 1, 100)).contains(3);
        rig.end(placedAt(rig, 1), AttemptOutcome.CONNECT_FAILED);
        LearnedState before = rig.policy.learnedState(rig.now, 0);
        rig.policy.restore(rig.now, bad(1, 1));
        assertThat(rig.policy.learnedState(rig.now, 0).servers()).isEqualTo(before.servers());
    }

    private static Rig.Placed placedAt(Rig rig, int server) {
        for (int i = 5000; ; i++) {
            rig.read(i, i * 31L);
            if (rig.last().server() == server) {
                return rig.last();
            }
        }
    }

    @Test
    void whereAllAreRememberedAsBadItServesAndFindsOut() {
        Rig rig = rig(4);
        rig.policy.restore(rig.now, bad(8000, 1, 2, 3, 4));
        assertThat(firsts(rig, 1, 100)).isNotEmpty();
        assertThat(rig.answers()).as("nothing was turned away").isZero();
        rig.pass(8001);
        assertThat(firsts(rig, 200, 200)).containsExactlyInAnyOrder(1, 2, 3, 4);
    }

    /** Keys that come once each draw no lot, so that both instances must agree on every one of them. */
    @Test
    void aColdServerGetsNoKeyThatItWouldNotHaveWithoutIt() {
        SplittableRandom random = new SplittableRandom(5);
        int cold = 0;
        for (int round = 0; round < 200; round++) {
            int servers = 2 + random.nextInt(8);
            Rig with = rig(servers);
            Rig without = rig(servers);
            LearnedState worst = worst(random, servers);
            int age = random.nextInt(8000);
            int fresh = 1 + random.nextInt(servers);
            for (Rig r : List.of(with, without)) {
                r.now = 1e12;
                r.change(Rig.member(fresh, EndpointState.READY, r.now - age));
            }
            with.policy.restore(with.now, worst);
            for (int i = 1; i <= 100; i++) {
                long key = random.nextLong();
                with.read(i, key);
                without.read(i, key);
                if (at(with, i) == fresh) {
                    cold++;
                    assertThat(at(without, i))
                            .as("round " + round + ", key " + key)
                            .isEqualTo(fresh);
                }
            }
        }
        assertThat(cold).as("cold servers were used at all").isPositive();
    }

    private static int at(Rig rig, int request) {
        return rig.placed.stream()
                .filter(p -> p.request() == request && p.attempt() == 0)
                .mapToInt(Rig.Placed::server)
                .findFirst()
                .orElse(-1);
    }

    private static LearnedState worst(SplittableRandom random, int servers) {
        List<LearnedServer> facts = new ArrayList<>();
        for (int id = 1; id <= servers; id++) {
            if (random.nextInt(3) > 0) {
                facts.add(new LearnedServer(
                        id, 0, 1 + random.nextInt(30_000), random.nextDouble() * 1e9, random.nextInt(5)));
            }
        }
        return new LearnedState(
                facts,
                new LearnedLatency(random.nextDouble() * 1e3, 1, random.nextDouble() * 300, 1, 1),
                new LearnedLoad(random.nextInt(1000), random.nextInt(1000)),
                new LearnedLoad(random.nextInt(100), 100 + random.nextInt(1000)),
                new LearnedHotKeys(1e6, List.of(new LearnedHotKey(random.nextLong(), 1000))));
    }

    /**
     * A hot key is fair to a cold server by its part of all; what is remembered of others' keys must not swell that
     * all.
     */
    @Test
    void aHotKeyIsNoFairerToAColdServerForWhatIsRemembered() {
        int[] sent = new int[2];
        for (int k = 0; k < 2; k++) {
            for (int round = 0; round < 40; round++) {
                Rig rig = rig(8);
                rig.now = 1e12;
                for (int id = 1; id <= 8; id++) {
                    rig.change(Rig.member(id, EndpointState.READY, rig.now - 7900));
                }
                if (k == 1) {
                    rig.policy.restore(
                            rig.now,
                            new LearnedState(
                                    List.of(),
                                    LearnedState.NONE.latency(),
                                    LearnedState.NONE.originLoad(),
                                    LearnedState.NONE.serverLoad(),
                                    new LearnedHotKeys(1e6, List.of())));
                }
                for (int i = 1; i <= 5; i++) { // under the count from which a key is spread
                    rig.read(i, 77L + round);
                }
                sent[k] += (int) rig.placed.stream()
                        .filter(p -> p.server() != Rig.ORIGIN)
                        .count();
            }
        }
        assertThat(sent[1]).isEqualTo(sent[0]);
    }

    @Test
    void pressureIsRememberedAndNeverLoosensAThrottle() {
        LearnedLoad jam = new LearnedLoad(400, 40);
        LearnedLoad calm = new LearnedLoad(400, 400);
        assertThat(refused(LearnedState.NONE.serverLoad(), 0)).isZero();
        assertThat(refused(jam, 0)).as("at once").isGreaterThan(20);
        // An origin that answers nothing: earlier answers must not let more through than nothing remembered does.
        assertThat(refused(calm, 200)).isGreaterThanOrEqualTo(refused(LearnedState.NONE.serverLoad(), 200));
    }

    /**
     * How many of a hundred misses are not fetched, with the origin answering, after so many fetches that had no
     * answer.
     */
    private static int refused(LearnedLoad fetches, int unanswered) {
        Rig rig = rig(4);
        rig.policy.restore(
                rig.now,
                new LearnedState(
                        List.of(),
                        LearnedState.NONE.latency(),
                        fetches,
                        LearnedState.NONE.serverLoad(),
                        LearnedState.NONE.hotKeys()));
        int refused = 0;
        for (int i = 1; i <= unanswered + 100; i++) {
            int before = rig.denied.size();
            rig.read(i, 5000L + i);
            rig.end(rig.last(), AttemptOutcome.MISS);
            if (i > unanswered) {
                refused += rig.denied.size() > before ? 1 : 0;
                if (rig.last().request() == i && rig.last().server() == Rig.ORIGIN) {
                    rig.endAfter(rig.last(), AttemptOutcome.OK, 5);
                }
            }
        }
        return refused;
    }

    @Test
    void aHotKeyIsSpreadFromTheFirstRequestOn() {
        Rig first = rig(8);
        for (int i = 1; i <= 200; i++) {
            first.policy.onRequest(
                    first.now,
                    new RoutingRequest(
                            i, Rig.SAFE, 0, i % 2 == 0 ? 99 : 1000 + i, first.now + 1000, Double.NaN, 0, false, false),
                    first);
            first.endAfter(first.last(), AttemptOutcome.OK, 5);
        }
        LearnedState told = first.policy.learnedState(first.now, 10);
        assertThat(told.hotKeys().keys()).first().satisfies(k -> {
            assertThat(k.key()).isEqualTo(99);
            assertThat(k.count()).isEqualTo(100);
        });
        assertThat(first.policy.learnedState(first.now, 0).hotKeys().keys()).isEmpty();
        Rig next = rig(8);
        next.policy.restore(next.now, told);
        Set<Integer> at = new HashSet<>();
        for (int i = 1; i <= 5; i++) {
            next.read(i, 99);
            at.add(next.last().server());
        }
        assertThat(at).hasSizeGreaterThan(1);
        Rig without = rig(8);
        at.clear();
        for (int i = 1; i <= 5; i++) {
            without.read(i, 99);
            at.add(without.last().server());
        }
        assertThat(at).hasSize(1);
    }

    @Test
    void aMillionHotKeysAreToldOfWithinTheirBound() {
        Rig rig = rig(300);
        for (int i = 1; i <= 60_000; i++) {
            rig.read(i, i / 6); // each hot for a moment, while few were asked for
            rig.endAfter(rig.last(), AttemptOutcome.OK, 5);
        }
        assertThat(rig.policy.learnedState(rig.now, Integer.MAX_VALUE).hotKeys().keys())
                .hasSizeLessThanOrEqualTo(256)
                .isNotEmpty();
    }

    @Test
    void theUsualPaceIsTakenOverByItsWeight() {
        LearnedLatency usual = new LearnedLatency(80, 3, 20, 4, 1);
        Rig rig = rig(4);
        LearnedLatency own = rig.policy.learnedState(rig.now, 0).latency();
        rig.policy.restore(
                rig.now,
                new LearnedState(
                        List.of(),
                        usual,
                        LearnedState.NONE.originLoad(),
                        LearnedState.NONE.serverLoad(),
                        LearnedState.NONE.hotKeys()));
        assertThat(rig.policy.learnedState(rig.now, 0).latency()).isEqualTo(usual);
        Rig half = rig(4);
        half.policy.restore(
                half.now,
                new LearnedState(
                        List.of(),
                        new LearnedLatency(80, 3, 20, 4, 0.5),
                        LearnedState.NONE.originLoad(),
                        LearnedState.NONE.serverLoad(),
                        LearnedState.NONE.hotKeys()));
        assertThat(half.policy.learnedState(half.now, 0).latency().averageMs()).isEqualTo((own.averageMs() + 20) / 2);
        Rig none = rig(4);
        none.policy.restore(none.now, LearnedState.NONE);
        assertThat(none.policy.learnedState(none.now, 0).latency()).isEqualTo(own);
    }
}
