package cacheproxy.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;

/** The line that {@code GET /invariants} answers, and the words that stand in it and in the event log. */
class SummaryGoldenTextTest {
    @Test
    void eachInvariantHasItsWord() {
        assertThat(Arrays.stream(Invariant.values()).map(Invariant::label))
                .containsExactly(
                        "deadline_open",
                        "deadline_within_clients",
                        "client_present",
                        "repeat_window_open",
                        "single_effect",
                        "single_attempt",
                        "server_accepts",
                        "single_answer",
                        "close_owes_nothing");
    }

    @Test
    void theLineHasTheSumsAndThenWhatIsNotZero() {
        InvariantMonitor monitor = new InvariantMonitor(new InvariantMonitor.Listener() {
            @Override
            public void stopped(Invariant invariant, String requestId, String reason) {}

            @Override
            public void violated(Invariant invariant, String requestId, String reason) {}
        });
        assertThat(monitor.summary()).isEqualTo("violations=0 stopped=0");
        monitor.stop(Invariant.SINGLE_EFFECT, "r1", "why");
        monitor.stop(Invariant.DEADLINE_OPEN, "r2", "why");
        monitor.stop(Invariant.DEADLINE_OPEN, "r3", "why");
        monitor.violation(Invariant.CLOSE_OWES_NOTHING, "r4", "why");
        assertThat(monitor.summary())
                .isEqualTo(
                        "violations=1 stopped=3 violated_close_owes_nothing=1 stopped_deadline_open=2 stopped_single_effect=1");
    }
}
