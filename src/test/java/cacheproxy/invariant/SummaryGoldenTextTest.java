package cacheproxy.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The response of {@code GET /invariants}, and the labels in it and in the event log. */
class SummaryGoldenTextTest {
    @Test
    void invariantsHaveGoldenLabels() {
        assertThat(Arrays.stream(Invariant.values()).map(Invariant::label))
                .containsExactly(
                        "deadline_open",
                        "deadline_within_clients",
                        "client_present",
                        "repeat_window_open",
                        "single_effect",
                        "single_attempt",
                        "server_accepts",
                        "slow_start_budget",
                        "single_answer",
                        "single_line",
                        "close_owes_nothing",
                        "close_leaves_nothing_unread");
    }

    @Test
    void summaryHasTotalsThenNonZeroCounters() {
        InvariantMonitor monitor = new InvariantMonitor(new InvariantListener() {
            @Override
            public void stopped(Invariant invariant, String requestId, String reason) {}

            @Override
            public void violated(Invariant invariant, String requestId, String reason) {}
        });
        assertThat(monitor.summary()).isEqualTo("violations=0 stopped=0");
        monitor.recordStopped(Invariant.SINGLE_EFFECT, "r1", "why");
        monitor.recordStopped(Invariant.DEADLINE_OPEN, "r2", "why");
        monitor.recordStopped(Invariant.DEADLINE_OPEN, "r3", "why");
        monitor.recordViolation(Invariant.CLOSE_OWES_NOTHING, "r4", "why");
        assertThat(monitor.summary())
                .isEqualTo(
                        "violations=1 stopped=3 violated_close_owes_nothing=1 stopped_deadline_open=2 stopped_single_effect=1");
    }
}
