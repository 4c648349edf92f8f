package cacheproxy.policy;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The budget of a server in its slow start. */
class LearnedSlowStartBudgetTest {
    private static final double WINDOW_MS = 1500;
    private static final double MULTIPLE = 3;
    private static final double CAPACITY_FRACTION = 0.3;

    /**
     * What all proxies may send together while the servers answer all that they can: whatever the proxies' shares of
     * the traffic are, and even if each of them runs twice during an upgrade.
     */
    @ParameterizedTest
    @CsvSource({"1, 5", "2, 36", "6, 36", "6, 9", "14, 36", "30, 18", "72, 36", "100, 10", "100, 36", "100, 400"})
    void budgetsOfAllProxiesStayWithinTheBudgetOfTheServer(int proxies, double warmPerSecond) {
        double serverBudget = MULTIPLE * CAPACITY_FRACTION * warmPerSecond * WINDOW_MS / 1000;
        double root = Math.sqrt(serverBudget);
        double allowed = serverBudget < 30 ? serverBudget + 3 * root + 3 : serverBudget + 2 * root + 2;
        for (int seed = 1; seed <= 50; seed++) {
            SplittableRandom random = new SplittableRandom(seed);
            int processes = proxies * (seed % 2 + 1);
            int skew = seed % 7;
            double[] shares = random.doubles(processes)
                    .map(uniform -> Math.pow(uniform, skew))
                    .toArray();
            double sum = 0;
            for (double share : shares) {
                sum += share;
            }
            double together = 0;
            for (double share : shares) {
                double ownRequests = serverBudget * share / sum;
                double budget = LearnedSlowStartBudget.requests(ownRequests, proxies);
                together += new SlowStartWindow(WINDOW_MS, random.nextDouble()).allowedCost(budget);
            }
            assertThat(together).as("seed %s, %s processes", seed, processes).isLessThanOrEqualTo(allowed);
        }
    }

    /** Attempts that arrive late, all at once, are among those that were counted when they were admitted. */
    @Test
    void attemptsCountUntilOneWindowAfterTheirEnd() {
        SlowStartWindow window = new SlowStartWindow(WINDOW_MS, 0);
        assertThat(window.tryAdmit(0, 1, 2.9)).isTrue();
        assertThat(window.tryAdmit(0, 1, 2.9)).isTrue();
        assertThat(window.tryAdmit(10 * WINDOW_MS, 1, 2.9)).as("both in flight").isFalse();
        window.end(10 * WINDOW_MS, 1);
        assertThat(window.tryAdmit(11 * WINDOW_MS - 1, 1, 2.9)).isFalse();
        assertThat(window.tryAdmit(11 * WINDOW_MS, 1, 2.9)).isTrue();
        window.giveBack(1);
        assertThat(window.tryAdmit(11 * WINDOW_MS, 1, 2.9))
                .as("one was given back")
                .isTrue();
        assertThat(window.tryAdmit(11 * WINDOW_MS, 1, 2.9)).isFalse();
    }

    /** The count at the first byte finds what the admission has let through by mistake. */
    @Test
    void attemptsThatBeginBeyondAllAdmissionsAreADefect() {
        SlowStartWindow window = new SlowStartWindow(WINDOW_MS, 0);
        assertThat(window.recordBegin(0, 1, 2)).isTrue();
        assertThat(window.recordBegin(WINDOW_MS - 1, 1, 2)).isTrue();
        assertThat(window.recordBegin(WINDOW_MS, 1, 2))
                .as("the first has left the window")
                .isTrue();
        assertThat(window.recordBegin(WINDOW_MS, 1, 2)).isFalse();
        assertThat(window.recordBegin(WINDOW_MS, 1, 4)).as("a greater budget").isTrue();
    }

    /** A crowd of reads, of which all other servers but one fail, does not take a server over its budget. */
    @Test
    void sendsNoMoreThanTheBudgetHoweverManyRequestsThereAre() {
        PolicyHarness harness = steadyHarness();
        List<Endpoint> drained = new ArrayList<>();
        for (int id = 3; id <= 12; id++) {
            drained.add(PolicyHarness.endpoint(id, EndpointState.DRAINING, 0));
        }
        drained.add(PolicyHarness.endpoint(2, EndpointState.READY, harness.nowMs));
        harness.changeEndpoints(drained.toArray(new Endpoint[0]));
        double startedMs = harness.nowMs;
        for (int id = 1; harness.nowMs < startedMs + 2000; id++) {
            harness.read(id, id);
            harness.nowMs += 0.1;
        }
        long sent = sentTo(harness, 2);
        // 12 servers answered one read in a millisecond: N is 3 x 0.38 x 2000 / 12 for this proxy, with two in three
        // used
        assertThat(sent).isBetween(50L, 160L);
    }

    /** A request that is rejected after its server was selected, or that never reaches it, takes no part. */
    @Test
    void attemptsThatNeverReachTheServerGiveTheirPartBack() {
        PolicyHarness harness = steadyHarness();
        harness.changeEndpoints(PolicyHarness.endpoint(2, EndpointState.READY, harness.nowMs));
        for (int id = 1; id <= 20_000; id++) {
            harness.read(id, id);
            harness.end(harness.lastSent(), AttemptOutcome.NOT_SENT, true, 0);
        }
        assertThat(sentTo(harness, 2)).isGreaterThan(300);
    }

    /** An attempt that waits for a connection while its server restarts must fit the new start's budget. */
    @Test
    void attemptPlacedBeforeARestartTakesItsPartWhenItBegins() {
        PolicyHarness harness = steadyHarness();
        int placed = 0;
        for (int id = 1; id <= 20_000; id++) {
            harness.read(id, id);
            placed += harness.lastSent().serverId() == 2 ? 1 : 0;
        }
        List<PolicyHarness.SentAttempt> waiting = List.copyOf(harness.sentAttempts);
        harness.changeEndpoints(PolicyHarness.endpoint(2, EndpointState.READY, harness.nowMs));
        long begun = waiting.stream()
                .filter(sent -> sent.serverId() == 2)
                .filter(sent -> harness.policy.mayBegin(harness.nowMs, sent.requestId(), sent.attempt()))
                .peek(sent -> assertThat(harness.policy.attemptBegan(harness.nowMs, sent.requestId(), sent.attempt()))
                        .isTrue())
                .count();
        assertThat(placed).isGreaterThan(1000);
        assertThat(begun).isBetween(1L, 160L);
        assertThat(waiting)
                .filteredOn(sent -> sent.serverId() != 2)
                .allMatch(sent -> harness.policy.mayBegin(harness.nowMs, sent.requestId(), sent.attempt()));
    }

    private static PolicyHarness steadyHarness() {
        return PolicyHarness.cacheAside().withFleet(12).withSteadyReads(1, 5000, 10);
    }

    private static long sentTo(PolicyHarness harness, int server) {
        return harness.sentAttempts.stream()
                .filter(sent -> sent.serverId() == server)
                .count();
    }
}
