package cacheproxy.daemon.hooks;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookOrders;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Which side ends a call, and what is reported. The test's thread acts both as the hook's thread and as the event loop.
 */
class HookTaskTest {
    private static final HookCall CALL = new HookCall("k", "page", "", false, false, 500);

    private final List<String> completions = new ArrayList<>();
    private final HookTask task = HookTask.ofRequest(
            Thread.currentThread(),
            CALL,
            7,
            (orders, failure, called) -> completions.add(orders + ", " + failure + ", " + called));

    @AfterEach
    void clearInterrupt() {
        Thread.interrupted();
    }

    @Test
    void reportsOrdersOnce() {
        assertThat(task.begin()).isTrue();
        task.complete(HookOrders.NONE, null);
        task.expire();
        assertThat(completions).containsExactly(HookOrders.NONE + ", null, true");
        assertThat(Thread.interrupted()).isFalse();
    }

    @Test
    void interruptsRunningCallOnTimeoutAndIgnoresItsLaterEnd() {
        assertThat(task.begin()).isTrue();
        task.expire();
        assertThat(Thread.currentThread().isInterrupted()).isTrue();
        task.complete(HookOrders.NONE, null);
        assertThat(Thread.currentThread().isInterrupted())
                .as("the next call is not interrupted")
                .isFalse();
        assertThat(completions).containsExactly("null, it exceeded its time limit, true");
    }

    @Test
    void doesNotBeginAfterTimeoutInQueue() {
        task.expire();
        assertThat(task.begin()).isFalse();
        assertThat(task.withdraw()).isFalse();
        assertThat(completions).containsExactly("null, it waited too long for its turn, false");
        assertThat(Thread.interrupted()).isFalse();
    }

    @Test
    void reportsNothingAfterWithdrawal() {
        assertThat(task.withdraw()).isTrue();
        task.expire();
        assertThat(task.begin()).isFalse();
        assertThat(completions).isEmpty();
    }

    @Test
    void keepsWhatItCarries() {
        HookTask answer = HookTask.ofAnswer(Thread.currentThread(), CALL, HookCall.Answer.SERVED, 9);
        assertThat(answer.call()).isEqualTo(CALL);
        assertThat(answer.answer()).isEqualTo(HookCall.Answer.SERVED);
        assertThat(answer.elapsedMs()).isEqualTo(9);
        assertThat(task.answer()).isNull();
        assertThat(task.deadlineMs()).isEqualTo(7);
    }
}
