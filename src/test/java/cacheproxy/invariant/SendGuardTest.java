package cacheproxy.invariant;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Each invariant stops the send that would violate it, at its bound and not before, and is counted. */
class SendGuardTest {
    private static final double GRACE_MS = 2000;
    private static final double NOW_MS = 10_000;
    private final SendGuard guard = new SendGuard(GRACE_MS);

    /** A send that may begin; each test changes one thing. */
    private static final class Facts implements SendFacts {
        double deadlineMs = NOW_MS + 500;
        boolean abandoned;
        double repeatUntilMs = Double.POSITIVE_INFINITY;
        boolean singleEffect;
        boolean earlierMayHaveRun;
        boolean earlierOut;
        boolean secondCopies = true;
        double serverLeftMs = Double.POSITIVE_INFINITY;

        @Override
        public double deadlineMs() {
            return deadlineMs;
        }

        @Override
        public boolean abandoned() {
            return abandoned;
        }

        @Override
        public double repeatUntilMs() {
            return repeatUntilMs;
        }

        @Override
        public boolean singleEffect() {
            return singleEffect;
        }

        @Override
        public boolean earlierMayHaveRun() {
            return earlierMayHaveRun;
        }

        @Override
        public boolean earlierOut() {
            return earlierOut;
        }

        @Override
        public boolean secondCopiesAllowed() {
            return secondCopies;
        }

        @Override
        public double serverLeftMs() {
            return serverLeftMs;
        }
    }

    private final Facts facts = new Facts();

    @Test
    void whatViolatesNothingBegins() {
        assertThat(guard.violatedBy(facts, NOW_MS)).isNull();
        facts.earlierMayHaveRun = true;
        facts.earlierOut = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).as("a hedge of a read").isNull();
    }

    @Test
    void timeThatIsOverAndClientsThatHaveLeft() {
        assertThat(guard.violatedBy(facts, facts.deadlineMs - 0.1)).isNull();
        assertThat(guard.violatedBy(facts, facts.deadlineMs)).isEqualTo(Invariant.DEADLINE_OPEN);
        facts.abandoned = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.CLIENT_PRESENT);
    }

    @Test
    void repeatsWithinTheWindowAndWhereTheyAreHarmless() {
        facts.repeatUntilMs = NOW_MS;
        assertThat(guard.violatedBy(facts, NOW_MS)).isNull();
        assertThat(guard.violatedBy(facts, NOW_MS + 0.1)).isEqualTo(Invariant.REPEAT_WINDOW_OPEN);
        facts.repeatUntilMs = Double.POSITIVE_INFINITY;
        facts.singleEffect = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).as("none has run").isNull();
        facts.earlierMayHaveRun = true;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.SINGLE_EFFECT);
        facts.singleEffect = false;
        facts.earlierOut = true;
        facts.secondCopies = false;
        assertThat(guard.violatedBy(facts, NOW_MS)).isEqualTo(Invariant.SINGLE_ATTEMPT);
    }

    @Test
    void aRepeatsWindowLeavesWhatMayHoldTheProxyUp() {
        assertThat(SendGuard.repeatUntilMs(1000, 1500)).isEqualTo(2500 - SendGuard.HOLD_UP_MS);
        assertThat(SendGuard.repeatUntilMs(1000, 100))
                .as("half of a short one is left")
                .isEqualTo(1050);
    }

    @Test
    void aServerThatDrainsIsSentToWithinTheGraceLessWhatMayHoldTheProxyUp() {
        facts.serverLeftMs = NOW_MS - GRACE_MS + SendGuard.HOLD_UP_MS;
        assertThat(guard.violatedBy(facts, NOW_MS)).isNull();
        assertThat(guard.violatedBy(facts, NOW_MS + 0.1)).isEqualTo(Invariant.SERVER_ACCEPTS);
    }

    @Test
    void whatIsStoppedAndWhatIsViolatedIsCountedByKindAndTold() {
        List<String> told = new ArrayList<>();
        InvariantMonitor monitor = new InvariantMonitor(new InvariantMonitor.Listener() {
            @Override
            public void stopped(Invariant invariant, String requestId, String reason) {
                told.add("stopped " + invariant + " " + requestId + " " + reason);
            }

            @Override
            public void violated(Invariant invariant, String requestId, String reason) {
                told.add("violated " + invariant + " " + requestId + " " + reason);
            }
        });
        assertThat(monitor.summary()).isEqualTo("violations=0 stopped=0");
        monitor.stop(Invariant.CLIENT_PRESENT, "a1", "left");
        monitor.stop(Invariant.CLIENT_PRESENT, "a2", "left");
        monitor.violation(Invariant.SINGLE_ANSWER, "a3", "twice");
        assertThat(monitor.stopped(Invariant.CLIENT_PRESENT)).isEqualTo(2);
        assertThat(monitor.violations(Invariant.SINGLE_ANSWER)).isEqualTo(1);
        assertThat(monitor.violations()).isEqualTo(1);
        assertThat(monitor.summary())
                .isEqualTo("violations=1 stopped=2 violated_single_answer=1 stopped_client_present=2");
        assertThat(told)
                .containsExactly(
                        "stopped CLIENT_PRESENT a1 left",
                        "stopped CLIENT_PRESENT a2 left",
                        "violated SINGLE_ANSWER a3 twice");
    }
}
