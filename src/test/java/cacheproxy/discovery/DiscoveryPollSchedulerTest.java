package cacheproxy.discovery;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Measures in virtual time how stale the list of a client of {@link DiscoveryPollScheduler} gets while discovery fails.
 */
class DiscoveryPollSchedulerTest {
    /** How and when a poll ends. */
    private record PollResult(double atMs, boolean success, boolean silent) {}

    private enum PollOutcome {
        REFUSED,
        REJECTED,
        CONNECTION_CLOSED,
        CONNECT_TIMEOUT,
        SILENT,
        PARTIAL_RESPONSE,
        SUCCESS
    }

    /** Defects of a client that the random walk must detect. */
    private enum InjectedDefect {
        NONE,
        LONG_POLL_WAIT,
        NO_TIMEOUT,
        LONG_RETRY
    }

    /**
     * Simulates one client for a minute during which discovery is alternately reachable and unreachable. While
     * reachable, discovery responds within a second, but some responses are lost, never two in a row.
     */
    private static final class RandomWalk {
        private static final double DURATION_MS = 60_000;
        private static final List<PollOutcome> FAILURES =
                List.copyOf(EnumSet.complementOf(EnumSet.of(PollOutcome.SUCCESS)));

        private final SplittableRandom random;
        private final DiscoveryPollScheduler scheduler;
        private final InjectedDefect defect;
        private double nowMs;
        private double phaseEndsAtMs;
        private boolean reachable;
        /** The later of the last success and the time when discovery became reachable. */
        private double freshSinceMs;

        private double maxStalenessMs;
        private boolean lastSucceeded;

        RandomWalk(long seed, boolean sharedService, int clientCount, InjectedDefect defect) {
            random = new SplittableRandom(seed);
            scheduler = new DiscoveryPollScheduler(sharedService, clientCount, random.split());
            this.defect = defect;
            phaseEndsAtMs = random.nextDouble(20_000);
            reachable = random.nextBoolean();
        }

        /**
         * Runs the walk; returns the longest time for which discovery was reachable without a successful poll, in
         * milliseconds.
         */
        double runAndMeasureStalenessMs() {
            scheduler.setFollowing(0, true);
            while (nowMs < DURATION_MS) {
                nowMs = Math.max(nowMs, scheduler.nextPollAtMs());
                advancePhases();
                PollResult result = send(scheduler.beginPoll(nowMs));
                if (result.success() && result.atMs() > phaseEndsAtMs) { // discovery became unreachable in the meantime
                    result = new PollResult(Math.max(phaseEndsAtMs, nowMs), false, false);
                }
                nowMs = result.atMs();
                report(result);
            }
            return maxStalenessMs;
        }

        private void advancePhases() {
            while (nowMs >= phaseEndsAtMs) {
                maxStalenessMs = reachable ? Math.max(maxStalenessMs, phaseEndsAtMs - freshSinceMs) : maxStalenessMs;
                reachable = !reachable;
                freshSinceMs = phaseEndsAtMs;
                phaseEndsAtMs += reachable ? 500 + random.nextDouble(25_000) : random.nextDouble(15_000);
            }
        }

        private PollResult send(DiscoveryPoll poll) {
            double waitMs = defect == InjectedDefect.LONG_POLL_WAIT && poll.waitMs() > 1 ? 20_000 : poll.waitMs();
            double timeoutMs = defect == InjectedDefect.NO_TIMEOUT ? 20_000 : poll.timeoutMs() - poll.waitMs() + waitMs;
            return switch (nextOutcome()) {
                case REFUSED -> new PollResult(nowMs + 1, false, false);
                case REJECTED, CONNECTION_CLOSED ->
                    new PollResult(nowMs + random.nextDouble(Math.min(timeoutMs, 3000)), false, false);
                case CONNECT_TIMEOUT -> new PollResult(nowMs + Math.min(timeoutMs, 1000), false, false);
                case SILENT, PARTIAL_RESPONSE -> new PollResult(nowMs + timeoutMs, false, true);
                case SUCCESS ->
                    new PollResult(nowMs + Math.min(timeoutMs, waitMs + random.nextDouble(1000)), true, false);
            };
        }

        private PollOutcome nextOutcome() {
            PollOutcome outcome = reachable ? PollOutcome.SUCCESS : FAILURES.get(random.nextInt(FAILURES.size()));
            boolean lostResponse = reachable && lastSucceeded && random.nextInt(10) == 0;
            return lostResponse ? PollOutcome.SILENT : outcome;
        }

        private void report(PollResult result) {
            lastSucceeded = result.success();
            if (lastSucceeded) {
                maxStalenessMs = Math.max(maxStalenessMs, nowMs - freshSinceMs);
                freshSinceMs = nowMs;
                scheduler.succeeded(nowMs);
                return;
            }
            scheduler.failed(nowMs, result.silent());
            if (defect == InjectedDefect.LONG_RETRY) {
                nowMs += 5000;
            }
        }
    }

    private static double[] sortedStalenessMs(int walkCount, InjectedDefect defect) {
        double[] stalenessMs = new double[walkCount];
        for (int i = 0; i < walkCount; i++) {
            stalenessMs[i] = new RandomWalk(i, i % 3 != 0, i % 2 == 0 ? 5 : 100, defect).runAndMeasureStalenessMs();
        }
        Arrays.sort(stalenessMs);
        return stalenessMs;
    }

    @Test
    void keepsStalenessWithinBoundWhileDiscoveryIsReachable() {
        double[] stalenessMs = sortedStalenessMs(20_000, InjectedDefect.NONE);
        System.out.printf(
                "list staleness: 20000 walks, ms without a success p50 %.0f, p99 %.0f, max %.0f of %.0f%n",
                stalenessMs[10_000], stalenessMs[19_800], stalenessMs[19_999], DiscoveryPollScheduler.MAX_STALENESS_MS);
        assertThat(stalenessMs[19_999]).isLessThanOrEqualTo(DiscoveryPollScheduler.MAX_STALENESS_MS);
    }

    @Test
    void randomWalkDetectsInjectedDefects() {
        for (InjectedDefect defect : new InjectedDefect[] {
            InjectedDefect.LONG_POLL_WAIT, InjectedDefect.NO_TIMEOUT, InjectedDefect.LONG_RETRY
        }) {
            double[] stalenessMs = sortedStalenessMs(500, defect);
            assertThat(stalenessMs[499]).as(defect.name()).isGreaterThan(DiscoveryPollScheduler.MAX_STALENESS_MS);
        }
    }

    @Test
    void silentLongPollLeavesTimeForImmediatePollWithinStalenessBound() {
        DiscoveryPollScheduler scheduler = new DiscoveryPollScheduler(true, 100, new SplittableRandom(1));
        scheduler.setFollowing(0, true);
        DiscoveryPoll longPoll = scheduler.beginPoll(0);
        assertThat(longPoll.waitMs()).isEqualTo(DiscoveryPollScheduler.LONG_POLL_WAIT_MS);
        double nowMs = longPoll.timeoutMs();
        scheduler.failed(nowMs, true);
        assertThat(scheduler.nextPollAtMs()).isEqualTo(nowMs);
        DiscoveryPoll immediatePoll = scheduler.beginPoll(nowMs);
        assertThat(immediatePoll.waitMs()).isEqualTo(DiscoveryPollScheduler.IMMEDIATE_POLL_WAIT_MS);
        assertThat(nowMs + immediatePoll.timeoutMs()).isLessThan(DiscoveryPollScheduler.MAX_STALENESS_MS);
        scheduler.succeeded(nowMs + 5);
        assertThat(scheduler.beginPoll(nowMs + 5).waitMs()).isEqualTo(DiscoveryPollScheduler.LONG_POLL_WAIT_MS);
    }

    /**
     * Guards against short timeouts: abandoning polls that are queued at a slow discovery would only lengthen its
     * queue.
     */
    @Test
    void extendsTimeoutsForSlowDiscoveryUpToTheMaximum() {
        DiscoveryPollScheduler scheduler = new DiscoveryPollScheduler(true, 100, new SplittableRandom(1));
        scheduler.setFollowing(0, true);
        double nowMs = 0;
        for (int i = 0; i < 20; i++) {
            double timeoutMs = scheduler.beginPoll(nowMs).timeoutMs();
            assertThat(timeoutMs)
                    .isLessThanOrEqualTo(
                            DiscoveryPollScheduler.LONG_POLL_WAIT_MS + DiscoveryPollScheduler.MAX_RESPONSE_TIMEOUT_MS);
            nowMs += timeoutMs;
            scheduler.failed(nowMs, true);
            assertThat(scheduler.nextPollAtMs() - nowMs).isBetween(0.0, DiscoveryPollScheduler.MIN_RETRY_CAP_MS);
            nowMs = scheduler.nextPollAtMs();
        }
        assertThat(scheduler.beginPoll(nowMs).timeoutMs())
                .isEqualTo(
                        DiscoveryPollScheduler.IMMEDIATE_POLL_WAIT_MS + DiscoveryPollScheduler.MAX_RESPONSE_TIMEOUT_MS);
        scheduler.succeeded(nowMs + 1800);
        assertThat(scheduler.beginPoll(nowMs + 1800).timeoutMs())
                .isEqualTo(
                        DiscoveryPollScheduler.LONG_POLL_WAIT_MS
                                + 2 * (1800 - DiscoveryPollScheduler.IMMEDIATE_POLL_WAIT_MS),
                        within(1e-6));
    }

    @Test
    void spreadsRetriesOfClientsRejectedTogether() {
        SplittableRandom random = new SplittableRandom(7);
        double sum = 0;
        for (int i = 0; i < 100; i++) {
            DiscoveryPollScheduler scheduler = new DiscoveryPollScheduler(true, 100, random.split());
            scheduler.setFollowing(0, true);
            double nowMs = 0;
            for (int k = 0; k < 6; k++) {
                scheduler.beginPoll(nowMs);
                scheduler.failed(nowMs, false);
                assertThat(scheduler.nextPollAtMs() - nowMs).isBetween(0.0, DiscoveryPollScheduler.MAX_RETRY_CAP_MS);
                nowMs = scheduler.nextPollAtMs();
            }
            scheduler.beginPoll(nowMs);
            scheduler.failed(nowMs, false);
            sum += scheduler.nextPollAtMs() - nowMs;
        }
        assertThat(sum / 100)
                .isBetween(
                        DiscoveryPollScheduler.MAX_RETRY_CAP_MS * 0.4, DiscoveryPollScheduler.MAX_RETRY_CAP_MS * 0.6);
    }

    @Test
    void pollsOnlyOnRequestAfterFirstSuccessWhenNotLongPolling() {
        DiscoveryPollScheduler scheduler = new DiscoveryPollScheduler(true, 5, new SplittableRandom(1));
        scheduler.setLongPolling(0, false);
        scheduler.setFollowing(0, true);
        scheduler.beginPoll(0);
        scheduler.succeeded(1);
        assertThat(scheduler.nextPollAtMs()).isInfinite();
        scheduler.pollNow(2);
        scheduler.beginPoll(2);
        scheduler.pollNow(3); // a poll is in flight: it ends first, then another one follows
        assertThat(scheduler.inFlight()).isTrue();
        scheduler.succeeded(4);
        assertThat(scheduler.nextPollAtMs()).isEqualTo(4);
        scheduler.beginPoll(4);
        scheduler.succeeded(5);
        assertThat(scheduler.nextPollAtMs()).isInfinite();
        scheduler.setLongPolling(6, true);
        assertThat(scheduler.nextPollAtMs()).isEqualTo(6);
    }

    @Test
    void addressChangeDropsPollInFlightAndFailureCount() {
        DiscoveryPollScheduler scheduler = new DiscoveryPollScheduler(true, 100, new SplittableRandom(1));
        scheduler.setFollowing(0, true);
        for (double nowMs = 0, i = 0; i < 8; i++, nowMs = scheduler.nextPollAtMs()) {
            scheduler.beginPoll(nowMs);
            scheduler.failed(nowMs, false);
        }
        scheduler.addressChanged(9000);
        assertThat(scheduler.inFlight()).isFalse();
        assertThat(scheduler.consecutiveFailures()).isZero();
        assertThat(scheduler.nextPollAtMs()).isEqualTo(9000);
        assertThat(scheduler.beginPoll(9000).timeoutMs())
                .isEqualTo(
                        DiscoveryPollScheduler.IMMEDIATE_POLL_WAIT_MS + DiscoveryPollScheduler.MIN_RESPONSE_TIMEOUT_MS);
    }
}
