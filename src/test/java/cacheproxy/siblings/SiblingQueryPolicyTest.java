package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Whether querying siblings saves time, in a model of an origin and of siblings that lose or falsify replies. */
class SiblingQueryPolicyTest {
    private static final int REQUESTS = 20_000;

    /**
     * A model of an origin and three siblings.
     *
     * @param hitShare share of queries that a sibling answers with a hit
     * @param lossShare share of replies that are lost
     * @param falseHitShare share of hits whose value the sibling then does not return
     * @param pressure the number of requests to the origin for each one that it answers at its usual speed
     */
    private record Model(
            double originFetchMs,
            double siblingFetchMs,
            double hitShare,
            double lossShare,
            double falseHitShare,
            double roundTripMs,
            double remainingMs,
            double pressure) {}

    private record Result(double meanMs, double inTimeShare, double originFetches, double queries) {}

    /** Simulates requests that miss in this proxy's servers, one every 5 ms. */
    private static final class Simulation {
        private final Model model;
        private final SplittableRandom random;
        private final List<SiblingStats> siblings = List.of(new SiblingStats(), new SiblingStats(), new SiblingStats());
        private int originFetches;
        private int queries;

        Simulation(long seed, Model model) {
            this.model = model;
            random = new SplittableRandom(seed);
        }

        static Result run(long seed, boolean queriesSiblings, Model model) {
            Simulation simulation = new Simulation(seed, model);
            SplittableRandom policyRandom = new SplittableRandom(seed + 1);
            double totalMs = 0;
            int inTime = 0;
            double nowMs = 0;
            for (int i = 0; i < REQUESTS; i++) {
                nowMs += 5;
                SiblingQueryPolicy.Plan plan = queriesSiblings
                        ? simulation.plan(nowMs, policyRandom.nextDouble())
                        : SiblingQueryPolicy.Plan.NONE;
                double elapsedMs = simulation.request(nowMs, plan);
                totalMs += elapsedMs;
                inTime += elapsedMs <= model.remainingMs ? 1 : 0;
            }
            return new Result(
                    totalMs / REQUESTS, inTime / (double) REQUESTS, simulation.originFetches, simulation.queries);
        }

        private SiblingQueryPolicy.Plan plan(double nowMs, double randomDraw) {
            return SiblingQueryPolicy.plan(
                    nowMs,
                    siblings,
                    model.originFetchMs,
                    model.siblingFetchMs,
                    model.remainingMs,
                    model.pressure,
                    randomDraw);
        }

        /** Returns the time until a request has its value. */
        private double request(double nowMs, SiblingQueryPolicy.Plan plan) {
            double[] draws = random.doubles(12).toArray();
            int firstHit = -1;
            double firstHitMs = plan.waitMs();
            for (int sibling : plan.siblings()) {
                double replyMs = query(nowMs, sibling, draws);
                if (replyMs < firstHitMs) {
                    firstHitMs = replyMs;
                    firstHit = sibling;
                }
            }
            double elapsedMs = plan.siblings().isEmpty() ? 0 : firstHitMs;
            boolean valueReceived = firstHit >= 0 && draws[9] >= model.falseHitShare;
            if (firstHit >= 0) {
                elapsedMs += model.siblingFetchMs;
                siblings.get(firstHit).recordFetch(valueReceived);
            }
            if (!valueReceived) {
                originFetches++;
                elapsedMs += model.originFetchMs * (0.5 + draws[10]) * (draws[11] * model.pressure < 1 ? 1 : 3);
            }
            return elapsedMs;
        }

        /** Returns the time until a sibling's hit; infinite if it has none or its reply is lost. */
        private double query(double nowMs, int sibling, double[] draws) {
            queries++;
            siblings.get(sibling).recordQuery(nowMs);
            double roundTripMs = model.roundTripMs * (0.5 + draws[sibling]);
            if (draws[3 + sibling] < model.lossShare) {
                return Double.POSITIVE_INFINITY;
            }
            boolean hit = draws[6 + sibling] < model.hitShare;
            siblings.get(sibling).recordReply(roundTripMs, hit);
            return hit ? roundTripMs : Double.POSITIVE_INFINITY;
        }
    }

    /**
     * With lost replies, false hits, slow siblings, a fast origin and an overloaded one: querying never costs more than
     * the probes do.
     */
    @ParameterizedTest
    @CsvSource({
        "100, 5, 0.5, 0, 0, 2, 250, 1, true",
        "100, 5, 0.5, 0.5, 0, 2, 250, 1, true",
        "100, 5, 0.5, 0.5, 0.3, 2, 250, 3, true",
        "100, 5, 0.5, 0, 1, 2, 250, 1, false",
        "100, 5, 0.01, 0, 0, 20, 250, 1, false",
        "4, 5, 0.5, 0, 0, 2, 250, 1, false",
        "100, 5, 0.5, 1, 0, 2, 250, 1, false",
        "100, 5, 0.5, 0, 0, 400, 250, 1, false",
        "150, 5, 0.5, 0.5, 0, 10, 200, 5, true",
        "100, 5, 0, 0, 0, 2, 250, 20, false"
    })
    void queriesSiblingsOnlyWhenItSavesTime(
            double originFetchMs,
            double siblingFetchMs,
            double hitShare,
            double lossShare,
            double falseHitShare,
            double roundTripMs,
            double remainingMs,
            double pressure,
            boolean savesTime) {
        Model model = new Model(
                originFetchMs, siblingFetchMs, hitShare, lossShare, falseHitShare, roundTripMs, remainingMs, pressure);
        Result with = Simulation.run(4, true, model);
        Result without = Simulation.run(4, false, model);
        assertThat(with.inTimeShare).as("share in time").isGreaterThanOrEqualTo(without.inTimeShare - 0.01);
        if (savesTime) {
            assertThat(with.meanMs).as("mean time").isLessThan(without.meanMs * 0.8);
            assertThat(with.originFetches).as("fetches at the origin").isLessThan(without.originFetches * 0.7);
        } else {
            assertThat(with.meanMs).as("mean time").isLessThan(without.meanMs * 1.05);
            assertThat(with.queries).as("queries, of 60,000").isLessThan(6_000);
        }
    }

    @Test
    void boundsTheWaitByMeasuredReplyTimes() {
        SiblingStats quick = new SiblingStats();
        SiblingStats slow = new SiblingStats();
        for (int i = 0; i < 100; i++) {
            quick.recordQuery(i);
            quick.recordReply(2, true);
            quick.recordFetch(true);
            slow.recordQuery(i);
            slow.recordReply(80, true);
            slow.recordFetch(true);
        }
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick), 100, 5, 250, 1, 1)
                        .waitMs())
                .isBetween(2.0, 4.0);
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick, slow), 500, 5, 250, 1, 1)
                        .waitMs())
                .isEqualTo(250 * SiblingQueryPolicy.MAX_WAIT_SHARE);
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick), 100, 5, 6, 1, 1))
                .as("too late for a sibling's value")
                .isEqualTo(SiblingQueryPolicy.Plan.NONE);
        assertThat(SiblingQueryPolicy.plan(100, List.of(quick), 100, 5, 0, 1, 1))
                .isEqualTo(SiblingQueryPolicy.Plan.NONE);
        assertThat(SiblingQueryPolicy.plan(100, List.of(), 100, 5, 250, 1, 1)).isEqualTo(SiblingQueryPolicy.Plan.NONE);
        List<SiblingStats> many = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            many.add(quick);
        }
        assertThat(SiblingQueryPolicy.plan(100, many, 100, 5, 250, 1, 1).siblings())
                .hasSize(SiblingQueryPolicy.MAX_SIBLINGS_QUERIED);
    }
}
