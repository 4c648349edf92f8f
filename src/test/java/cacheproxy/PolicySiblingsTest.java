package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.siblings.Siblings;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Questions to siblings as the module orders them, and what follows from each answer. */
class PolicySiblingsTest {
    private static final int SIBLING = 7000;
    private double wait = 20;
    private final List<AttemptOutcome> fetched = new ArrayList<>();
    private final List<Double> pressures = new ArrayList<>();

    private final Siblings siblings = new Siblings() {
        @Override
        public boolean is(Endpoint member) {
            return member.id() == SIBLING;
        }

        @Override
        public double waitMs(double now, double fetchMs, double leftMs, double pressure) {
            pressures.add(pressure);
            return leftMs > 0 ? wait : 0;
        }

        @Override
        public void fetched(double now, int sibling, AttemptOutcome outcome, double elapsedMs) {
            fetched.add(outcome);
        }
    };

    private Rig rig(boolean copies) {
        PolicySettings s = Rig.withoutProbes(Rig.settings(true, false, copies, DeduplicationScope.ALL));
        Rig rig = new Rig(s, new RoutingPolicy(s, 42, CarpPlacement::new, AdmissionControl.UNLIMITED, siblings));
        rig.fleet(4);
        rig.policy.onEndpointList(
                rig.now,
                EndpointListKind.CHANGES,
                List.of(new Endpoint(SIBLING, 0, 0, 0, EndpointState.READY, 1, 0)),
                rig);
        return rig;
    }

    /** A read that has missed at its node. */
    private static void miss(Rig rig, int id, long key) {
        rig.read(id, key);
        rig.end(rig.last(), AttemptOutcome.MISS);
    }

    @Test
    void noKeyIsPlacedAtASiblingAndAMissAsksOnce() {
        Rig rig = rig(true);
        for (int i = 1; i <= 200; i++) {
            rig.read(i, i * 7919L);
            assertThat(rig.last().server()).isNotEqualTo(SIBLING);
            rig.endAfter(rig.last(), AttemptOutcome.OK, 5);
        }
        miss(rig, 500, 1);
        assertThat(rig.asked).containsExactly(500);
        assertThat(rig.last().server()).as("nothing is fetched meanwhile").isNotIn(SIBLING, Rig.ORIGIN);
    }

    @Test
    void aHitIsFetchedAndAnsweredAndTheOriginIsSpared() {
        Rig rig = rig(true);
        miss(rig, 1, 5);
        rig.policy.onSiblingResponse(rig.now, 1, SIBLING, rig);
        assertThat(rig.last().server()).isEqualTo(SIBLING);
        rig.endAfter(rig.last(), AttemptOutcome.OK, 4);
        rig.pass(2000);
        assertThat(rig.placed).hasSize(2).noneMatch(p -> p.server() == Rig.ORIGIN);
        assertThat(fetched).containsExactly(AttemptOutcome.OK);
        assertThat(rig.answers()).isZero();
        assertThat(rig.policy.learnedState(rig.now, 0).servers()).isEmpty();
    }

    @Test
    void noAnswerInTimeOrNoneThatHasItGoesToTheOrigin() {
        Rig rig = rig(true);
        miss(rig, 1, 5);
        rig.pass(21);
        assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
        rig.policy.onSiblingResponse(rig.now, 1, SIBLING, rig); // too late
        assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
        miss(rig, 2, 6);
        rig.policy.onSiblingResponse(rig.now, 2, 0, rig);
        assertThat(rig.last()).satisfies(p -> assertThat(p.server()).isEqualTo(Rig.ORIGIN));
        rig.pass(100);
        assertThat(rig.placed.stream().filter(p -> p.request() == 2 && p.server() == Rig.ORIGIN))
                .as("once")
                .hasSize(1);
        miss(rig, 3, 7);
        rig.policy.onSiblingResponse(rig.now, 3, 1, rig); // a server that is no sibling
        assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
    }

    @Test
    void aSiblingThatLiesFailsOrIsSilentCostsOneAttempt() {
        for (AttemptOutcome o : new AttemptOutcome[] {
            AttemptOutcome.MISS,
            AttemptOutcome.ERROR,
            AttemptOutcome.FULL,
            AttemptOutcome.RESET,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.TIMEOUT
        }) {
            Rig rig = rig(true);
            miss(rig, 1, 5);
            rig.policy.onSiblingResponse(rig.now, 1, SIBLING, rig);
            rig.end(rig.last(), o);
            assertThat(rig.last().server()).as(o.name()).isEqualTo(Rig.ORIGIN);
            rig.endAfter(rig.last(), AttemptOutcome.OK, 10);
            assertThat(rig.answers()).isZero();
            assertThat(rig.asked).hasSize(1);
            assertThat(fetched).last().isEqualTo(o);
        }
        Rig rig = rig(true);
        miss(rig, 1, 5);
        rig.policy.onSiblingResponse(rig.now, 1, SIBLING, rig);
        rig.pass(300);
        assertThat(rig.last().server()).as("silent").isEqualTo(Rig.ORIGIN);
        assertThat(rig.policy.learnedState(rig.now, 0).servers())
                .as("nothing is held against it as a server")
                .isEmpty();
    }

    @Test
    void thoseWhoComeMeanwhileWaitAndFetchTheHitThere() {
        Rig rig = rig(true);
        for (int i = 1; i <= 4; i++) {
            miss(rig, i, 5);
        }
        assertThat(rig.asked).containsExactly(1);
        rig.policy.onSiblingResponse(rig.now, 1, SIBLING, rig);
        rig.endAfter(rig.last(), AttemptOutcome.OK, 4);
        assertThat(rig.placed.stream().filter(p -> p.server() == SIBLING).map(Rig.Placed::request))
                .containsExactly(1, 2, 3, 4);
        rig.end(
                rig.placed.stream()
                        .filter(p -> p.server() == SIBLING && p.request() == 3)
                        .findFirst()
                        .orElseThrow(),
                AttemptOutcome.MISS);
        assertThat(rig.last()).as("its word did not hold for the third").satisfies(p -> {
            assertThat(p.server()).isEqualTo(Rig.ORIGIN);
            assertThat(p.request()).isEqualTo(3);
        });
    }

    @Test
    void ifTheOneWhoAskedLeavesAnotherTakesItsPlace() {
        for (boolean atSibling : new boolean[] {false, true}) {
            Rig rig = rig(true);
            miss(rig, 1, 5);
            miss(rig, 2, 5);
            if (atSibling) {
                rig.policy.onSiblingResponse(rig.now, 1, SIBLING, rig);
            }
            rig.policy.onClientGone(rig.now, 1, rig);
            if (atSibling) {
                rig.end(rig.last(), AttemptOutcome.RESET);
            }
            rig.pass(25);
            assertThat(rig.placed.stream()
                                    .filter(p -> (p.request() == 2 && p.server() == Rig.ORIGIN)
                                            || (p.request() == 2 && p.server() == SIBLING))
                                    .count()
                            + rig.asked.stream().filter(a -> a == 2).count())
                    .isPositive();
            rig.pass(2000);
            assertThat(rig.placed.stream().filter(p -> p.request() == 2 && p.server() == Rig.ORIGIN))
                    .hasSize(1);
        }
    }

    @Test
    void writesAndRequestsWithoutAMissAskNobody() {
        Rig rig = rig(true);
        rig.write(1, Rig.KEYED);
        rig.write(2, Rig.UNSAFE);
        rig.end(rig.last(), AttemptOutcome.RESET);
        rig.read(3, 9);
        rig.end(rig.last(), AttemptOutcome.CONNECT_FAILED);
        assertThat(rig.asked).isEmpty();
        assertThat(rig.placed).noneMatch(p -> p.server() == SIBLING);
        wait = 0;
        miss(rig, 4, 5);
        assertThat(rig.asked).isEmpty();
        assertThat(rig.last().server()).isEqualTo(Rig.ORIGIN);
    }

    /**
     * Whatever comes back, and in whatever order, each request ends once and the origin is asked at most once for it.
     */
    @Test
    void anyOrderOfEventsLeavesEachRequestWithOneEnd() {
        SplittableRandom random = new SplittableRandom(8);
        AttemptOutcome[] outcomes = {
            AttemptOutcome.OK,
            AttemptOutcome.MISS,
            AttemptOutcome.ERROR,
            AttemptOutcome.RESET,
            AttemptOutcome.TIMEOUT,
            AttemptOutcome.FULL
        };
        for (int round = 0; round < 300; round++) {
            Rig rig = rig(random.nextBoolean());
            List<Rig.Placed> open = new ArrayList<>();
            List<Integer> ended = new ArrayList<>();
            int seen = 0;
            int n = 0;
            for (int step = 0; step < 120; step++) {
                switch (random.nextInt(6)) {
                    case 0, 1 -> {
                        if (n < 20) {
                            rig.read(++n, 1 + random.nextInt(3));
                        }
                    }
                    case 2, 3 -> {
                        if (!open.isEmpty()) {
                            Rig.Placed p = open.remove(random.nextInt(open.size()));
                            AttemptOutcome o = p.server() < 100 && random.nextInt(3) > 0
                                    ? AttemptOutcome.MISS
                                    : outcomes[random.nextInt(outcomes.length)];
                            boolean first = o == AttemptOutcome.OK
                                    && !ended.contains(p.request())
                                    && !rig.denied.contains(p.request())
                                    && !rig.failed.contains(p.request());
                            if (first) {
                                ended.add(p.request());
                            }
                            rig.end(p, o, first, 0);
                        }
                    }
                    case 4 -> {
                        if (n > 0) {
                            rig.policy.onSiblingResponse(
                                    rig.now, 1 + random.nextInt(n), random.nextBoolean() ? SIBLING : 0, rig);
                        }
                    }
                    default -> rig.pass(random.nextInt(30));
                }
                for (; seen < rig.placed.size(); seen++) {
                    open.add(rig.placed.get(seen));
                }
            }
            rig.pass(5000);
            for (; seen < rig.placed.size(); seen++) {
                open.add(rig.placed.get(seen));
            }
            open.forEach(p -> rig.end(p, AttemptOutcome.TIMEOUT));
            rig.pass(5000);
            for (int id = 1; id <= n; id++) {
                int request = id;
                long answers = rig.denied.stream().filter(d -> d == request).count()
                        + rig.failed.stream().filter(d -> d == request).count()
                        + ended.stream().filter(d -> d == request).count();
                assertThat(answers).as("round " + round + ", request " + id).isEqualTo(1);
                assertThat(rig.placed.stream()
                                .filter(p -> p.request() == request && p.server() == Rig.ORIGIN)
                                .count())
                        .isLessThanOrEqualTo(1);
                assertThat(rig.asked.stream().filter(a -> a == request).count()).isLessThanOrEqualTo(1);
            }
        }
    }
}
