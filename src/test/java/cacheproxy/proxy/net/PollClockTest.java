package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;

/**
 * How long what is read may have waited: never less than it has, whatever the loop was held up by, and next to nothing
 * in calm.
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
        clock.polling(0);
        clock.handling(100 * MS);
        clock.polling(100 * MS + 1000);
        assertThat(clock.unreadForMs(200 * MS)).isLessThan(0.01);
    }

    @Test
    void countsPauseWithinPollFromStartOfPoll() {
        clock.polling(0);
        clock.handling(10 * MS);
        clock.polling(10 * MS);
        assertThat(clock.unreadForMs(610 * MS)).isEqualTo(600);
    }

    @Test
    void countsWorkBeforePollAndInThisTurn() {
        clock.polling(0);
        clock.handling(10 * MS);
        clock.polling(310 * MS);
        clock.handling(310 * MS);
        assertThat(clock.unreadForMs(330 * MS)).isEqualTo(320);
        clock.polling(330 * MS);
        assertThat(clock.unreadForMs(331 * MS)).isEqualTo(20);
    }

    /** The system may end a poll for a timer that is overdue and tell of what is to be read with the next. */
    @Test
    void countsPollThatMetPauseAsNotHavingSeenItsInput() {
        clock.polling(0);
        clock.handling(10 * MS);
        clock.polling(10 * MS);
        clock.handling(610 * MS);
        clock.polling(611 * MS);
        assertThat(clock.unreadForMs(612 * MS)).isEqualTo(601);
        clock.polling(613 * MS);
        assertThat(clock.unreadForMs(614 * MS)).isLessThan(5);
    }

    /**
     * A loop on a virtual clock: requests come at any time, are seen by the next poll, and are read after others' work
     * and pauses.
     */
    @Test
    void boundsWaitOfEveryRequestApartFromShortPauses() {
        double most = 0;
        for (int seed = 1; seed <= 2000; seed++) {
            Random random = new Random(seed);
            PollClock loop = new PollClock();
            long now = 0;
            long lastPollReturned = 0;
            for (int turn = 0; turn < 50; turn++) {
                loop.polling(now);
                long polled = now;
                // Ready at once, woken by an event, or by the heartbeat; and perhaps paused in it.
                long pause = random.nextInt(10) == 0 ? random.nextInt(900) * MS : 0;
                boolean readyAtOnce = random.nextInt(3) == 0;
                long wait = readyAtOnce ? 0 : random.nextInt((int) PollClock.HEARTBEAT_MS) * MS;
                now += wait + pause;
                // Came after the poll before had returned; where the poll did not return at once, after it had begun.
                long earliest = readyAtOnce ? lastPollReturned : polled;
                long came = readyAtOnce
                        ? earliest + (long) (random.nextDouble() * (polled - earliest))
                        : pause > 0 ? polled + wait + (long) (random.nextDouble() * pause) : now;
                lastPollReturned = now;
                loop.handling(now);
                now += random.nextInt(4) == 0 ? random.nextInt(400) * MS : random.nextInt(1000);
                double waited = (now - came) / (double) MS;
                double bound = loop.unreadForMs(now);
                double unseen =
                        wait / (double) MS + pause / (double) MS <= PollClock.MAX_POLL_MS ? pause / (double) MS : 0;
                assertThat(waited).as("seed %d turn %d", seed, turn).isLessThanOrEqualTo(bound + unseen + 0.001);
                most = Math.max(most, bound);
            }
        }
        assertThat(most).as("pauses were played").isGreaterThan(900);
    }

    /** Guards against a close that goes unnoticed for over 100 ms, whatever the loop was held up by. */
    @Test
    void isBehindAfterWorkOrAPauseInWhichAClosePassesUnnoticed() {
        clock.polling(0);
        clock.handling(10 * MS);
        assertThat(clock.isBehind(11 * MS)).isFalse();
        assertThat(clock.isBehind(70 * MS))
                .as("events of this turn have taken long")
                .isTrue();
        clock.polling(71 * MS);
        clock.handling(72 * MS);
        assertThat(clock.isBehind(73 * MS)).as("those of the turn before have").isTrue();
        clock.polling(74 * MS);
        clock.handling(170 * MS);
        assertThat(clock.isBehind(170 * MS)).as("a pause within the poll").isTrue();
        clock.polling(171 * MS);
        clock.handling(231 * MS);
        assertThat(clock.isBehind(231 * MS)).as("an idle poll").isFalse();
    }
}
