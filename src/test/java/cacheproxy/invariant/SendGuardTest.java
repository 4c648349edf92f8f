package cacheproxy.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each invariant stops a send that would violate it, exactly from its bound on; stopped sends are counted. */
class SendGuardTest {
    private static final double GRACE_MS = 2000;
    private static final double NOW_MS = 10_000;
    private final SendGuard guard = new SendGuard(GRACE_MS);

    /** The facts of a send that may begin; each test changes one of them. */
    private static final class FakeSend implements SendFacts {
        double deadlineMs = NOW_MS + 500;
        boolean abandoned;
        double retryUntilMs = Double.POSITIVE_INFINITY;
        boolean singleEffect;
        boolean earlierAttemptMayHaveRun;
        boolean earlierAttemptInFlight;
        boolean hedgingAllowed = true;
        double serverUnavailableSinceMs = Double.POSITIVE_INFINITY;
        boolean exceedsSlowStartBudget;

        @Override
        public double deadlineMs() {
            return deadlineMs;
        }

        @Override
        public boolean abandoned() {
            return abandoned;
        }

        @Override
        public double retryUntilMs() {
            return retryUntilMs;
        }

        @Override
        public boolean singleEffect() {
            return singleEffect;
        }

        @Override
        public boolean earlierAttemptMayHaveRun() {
            return earlierAttemptMayHaveRun;
        }

        @Override
        public boolean earlierAttemptInFlight() {
            return earlierAttemptInFlight;
        }

        @Override
        public boolean hedgingAllowed() {
            return hedgingAllowed;
        }

        @Override
        public double serverUnavailableSinceMs() {
            return serverUnavailableSinceMs;
        }

        @Override
        public boolean exceedsSlowStartBudget() {
            return exceedsSlowStartBudget;
        }
    }

    private final FakeSend facts = new FakeSend();

    @Test
    void allowsSendThatViolatesNothing() {
        assertThat(guard.violatedBy(facts, NOW_MS)).isNull();
        facts.earlierAttemptMayHaveRun = true;
        facts.earlierAttemptInFlight = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).as("a hedged read").isNull();
    }

    @Test
    void stopsSendsAfterDeadlineOrClientDisconnect() {
        assertThat(guard.violatedBy(facts, facts.deadlineMs - 0.1)).isNull();
        assertThat(guard.violatedBy(facts, facts.deadlineMs)).isEqualTo(Invariant.DEADLINE_OPEN);
        facts.abandoned = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.CLIENT_PRESENT);
    }

    @Test
    void stopsUnsafeRetriesAndHedges() {
        facts.retryUntilMs = NOW_MS;
        assertThat(guard.violatedBy(facts, NOW_MS)).isNull();
        assertThat(guard.violatedBy(facts, NOW_MS + 0.1)).isEqualTo(Invariant.REPEAT_WINDOW_OPEN);
        facts.retryUntilMs = Double.POSITIVE_INFINITY;
        facts.singleEffect = true;
        assertThat(guard.violatedBy(facts, NOW_MS))
                .as("no earlier attempt may have run")
                .isNull();
        facts.earlierAttemptMayHaveRun = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.SINGLE_EFFECT);
        facts.singleEffect = false;
        facts.earlierAttemptInFlight = true;
        facts.hedgingAllowed = false;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.SINGLE_ATTEMPT);
    }

    @Test
    void retryWindowLeavesMarginForProcessPause() {
        assertThat(SendGuard.retryUntilMs(1000, 1500)).isEqualTo(2500 - SendGuard.MAX_PAUSE_MS);
        assertThat(SendGuard.retryUntilMs(1000, 100))
                .as("half of a short window is left")
                .isEqualTo(1050);
    }

    @Test
    void sendsToDrainingServerWithinGraceLessPauseMargin() {
        facts.serverUnavailableSinceMs = NOW_MS - GRACE_MS + SendGuard.MAX_PAUSE_MS;
        assertThat(guard.violatedBy(facts, NOW_MS)).isNull();
        assertThat(guard.violatedBy(facts, NOW_MS + 0.1)).isEqualTo(Invariant.SERVER_ACCEPTS);
    }

    /** The budget is asked last, as asking may take a part of it. */
    @Test
    void stopsSendsBeyondTheSlowStartBudget() {
        facts.exceedsSlowStartBudget = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.SLOW_START_BUDGET);
        facts.serverUnavailableSinceMs = 0;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.SERVER_ACCEPTS);
    }

    @Test
    void countsAndReportsByInvariant() {
        List<String> events = new ArrayList<>();
        InvariantMonitor monitor = new InvariantMonitor(new InvariantListener() {
            @Override
            public void stopped(Invariant invariant, String requestId, String reason) {
                events.add("stopped " + invariant + " " + requestId + " " + reason);
            }

            @Override
            public void violated(Invariant invariant, String requestId, String reason) {
                events.add("violated " + invariant + " " + requestId + " " + reason);
            }
        });
        assertThat(monitor.summary()).isEqualTo("violations=0 stopped=0");
        monitor.recordStopped(Invariant.CLIENT_PRESENT, "a1", "left");
        monitor.recordStopped(Invariant.CLIENT_PRESENT, "a2", "left");
        monitor.recordViolation(Invariant.SINGLE_ANSWER, "a3", "twice");
        assertThat(monitor.stoppedCount(Invariant.CLIENT_PRESENT)).isEqualTo(2);
        assertThat(monitor.violationCount(Invariant.SINGLE_ANSWER)).isEqualTo(1);
        assertThat(monitor.violationCount()).isEqualTo(1);
        assertThat(monitor.summary())
                .isEqualTo("violations=1 stopped=2 violated_single_answer=1 stopped_client_present=2");
        assertThat(events)
                .containsExactly(
                        "stopped CLIENT_PRESENT a1 left",
                        "stopped CLIENT_PRESENT a2 left",
                        "violated SINGLE_ANSWER a3 twice");
    }
}
