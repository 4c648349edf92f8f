package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * Tests the bound on how long data has waited before it is read: never less than the actual wait, whatever has delayed
 * the loop, and close to zero on an idle loop.
 */
class PollClockTest {
    private static final long MS = 1_000_000;
    private final PollClock clock = new PollClock();

    @Test
    void reportsNoWaitIfLoopDoesNotReportPolls() {
        assertThat(clock.unreadForMs(5 * MS)).isZero();
    }

    @Test
    void reportsNoWaitAfterPollWithinHeartbeat() {
        clock.recordPoll(0);
        clock.recordEventHandling(100 * MS);
        clock.recordPoll(100 * MS + 1000);
        assertThat(clock.unreadForMs(200 * MS)).isLessThan(0.01);
    }

    @Test
    void countsPauseWithinPollFromStartOfPoll() {
        clock.recordPoll(0);
        clock.recordEventHandling(10 * MS);
        clock.recordPoll(10 * MS);
        assertThat(clock.unreadForMs(610 * MS)).isEqualTo(600);
    }

    @Test
    void countsWorkBeforePollAndInThisTurn() {
        clock.recordPoll(0);
        clock.recordEventHandling(10 * MS);
        clock.recordPoll(310 * MS);
        clock.recordEventHandling(310 * MS);
        assertThat(clock.unreadForMs(330 * MS)).isEqualTo(320);
        clock.recordPoll(330 * MS);
        assertThat(clock.unreadForMs(331 * MS)).isEqualTo(20);
    }

    /**
     * The operating system may end a poll because of an overdue timer, and report the readable data only with the next
     * poll.
     */
    @Test
    void countsPollThatMetPauseAsNotHavingSeenItsInput() {
        clock.recordPoll(0);
        clock.recordEventHandling(10 * MS);
        clock.recordPoll(10 * MS);
        clock.recordEventHandling(610 * MS);
        clock.recordPoll(611 * MS);
        assertThat(clock.unreadForMs(612 * MS)).isEqualTo(601);
        clock.recordPoll(613 * MS);
        assertThat(clock.unreadForMs(614 * MS)).isLessThan(5);
    }

    /**
     * Simulates a loop on a virtual clock: requests arrive at any time, are reported by the next poll, and are read
     * after work for other requests and after pauses.
     */
    @Test
    void boundsWaitOfEveryRequestApartFromShortPauses() {
        double longestBound = 0;
        for (int seed = 1; seed <= 2000; seed++) {
            Random random = new Random(seed);
            PollClock loop = new PollClock();
            long now = 0;
            long lastPollReturned = 0;
            for (int turn = 0; turn < 50; turn++) {
                loop.recordPoll(now);
                long polled = now;
                // The poll returns at once, or is ended by an event or the heartbeat; it may include a pause.
                long pause = random.nextInt(10) == 0 ? random.nextInt(900) * MS : 0;
                boolean readyAtOnce = random.nextInt(3) == 0;
                long wait = readyAtOnce ? 0 : random.nextInt((int) PollClock.HEARTBEAT_MS) * MS;
                now += wait + pause;
                // The request arrived after the previous poll had returned or, if this poll did not return at once,
                // after it had begun.
                long earliest = readyAtOnce ? lastPollReturned : polled;
                long arrived = readyAtOnce
                        ? earliest + (long) (random.nextDouble() * (polled - earliest))
                        : pause > 0 ? polled + wait + (long) (random.nextDouble() * pause) : now;
                lastPollReturned = now;
                loop.recordEventHandling(now);
                now += random.nextInt(4) == 0 ? random.nextInt(400) * MS : random.nextInt(1000);
                double waited = (now - arrived) / (double) MS;
                double bound = loop.unreadForMs(now);
                double undetectedPause =
                        wait / (double) MS + pause / (double) MS <= PollClock.MAX_POLL_MS ? pause / (double) MS : 0;
                assertThat(waited)
                        .as("seed %d turn %d", seed, turn)
                        .isLessThanOrEqualTo(bound + undetectedPause + 0.001);
                longestBound = Math.max(longestBound, bound);
            }
        }
        assertThat(longestBound)
                .as("longest bound in ms: pauses were simulated")
                .isGreaterThan(900);
    }

    /** Guards against a close that goes unnoticed for over 100 ms, whatever has delayed the loop. */
    @Test
    void isBehindAfterWorkOrAPauseInWhichAClosePassesUnnoticed() {
        clock.recordPoll(0);
        clock.recordEventHandling(10 * MS);
        assertThat(clock.isBehind(11 * MS)).isFalse();
        assertThat(clock.isBehind(70 * MS))
                .as("after long event handling in this turn")
                .isTrue();
        clock.recordPoll(71 * MS);
        clock.recordEventHandling(72 * MS);
        assertThat(clock.isBehind(73 * MS))
                .as("after long event handling in the previous turn")
                .isTrue();
        clock.recordPoll(74 * MS);
        clock.recordEventHandling(170 * MS);
        assertThat(clock.isBehind(170 * MS)).as("after a pause within the poll").isTrue();
        clock.recordPoll(171 * MS);
        clock.recordEventHandling(231 * MS);
        assertThat(clock.isBehind(231 * MS)).as("after an idle poll").isFalse();
    }
}
