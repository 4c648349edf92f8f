package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.policy.AttemptOutcome;
import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Tests the order of attempts on a connection: those that have begun, then those that wait. */
class AttemptQueueTest {
    private final AttemptQueue queue = new AttemptQueue();

    /** An attempt without a connection. */
    private static final class QueuedAttempt extends Attempt {
        private QueuedAttempt() {
            super(null, 0, 1, 0, 0);
        }

        @Override
        public PoolProtocol protocol() {
            throw new UnsupportedOperationException();
        }

        @Override
        public String siblingClass() {
            return null;
        }

        @Override
        public double deadlineMs() {
            return 0;
        }

        @Override
        public boolean hedgingAllowed() {
            return true;
        }

        @Override
        public boolean mayBeCutOff(double nowMs) {
            return true;
        }

        @Override
        public boolean mayBegin() {
            return true;
        }

        @Override
        public void onBegin() {}

        @Override
        public boolean onValueBegin(int length) {
            return false;
        }

        @Override
        public void onValuePart(ByteBuf part) {}

        @Override
        public void onEnd(AttemptOutcome outcome, int cacheStatus, float[] loadReport, ByteBuf value, String receipt) {}

        private void end() {
            markEnded();
        }
    }

    private QueuedAttempt add() {
        QueuedAttempt attempt = new QueuedAttempt();
        queue.add(attempt);
        return attempt;
    }

    private QueuedAttempt begin() {
        QueuedAttempt attempt = add();
        queue.begin(attempt);
        return attempt;
    }

    @Test
    void attemptsBeginAndRespondInTheirOrder() {
        assertThat(queue.isEmpty()).isTrue();
        assertThat(queue.first()).isNull();
        assertThat(queue.hasWaiting()).isFalse();
        QueuedAttempt first = add();
        QueuedAttempt second = add();
        assertThat(queue.firstWaiting()).isSameAs(first);
        queue.begin(first);
        assertThat(first.hasBegun()).isTrue();
        assertThat(queue.firstWaiting()).isSameAs(second);
        assertThat(queue.removeResponded()).isSameAs(first);
        assertThat(queue.first()).isSameAs(second);
        queue.begin(second);
        assertThat(queue.hasWaiting()).isFalse();
        assertThat(queue.size()).isEqualTo(1);
        assertThatThrownBy(queue::firstWaiting).isInstanceOf(IllegalStateException.class);
    }

    @Test
    void removesOnlyAttemptsThatAreHere() {
        QueuedAttempt first = add();
        QueuedAttempt second = add();
        assertThat(queue.removeWaiting(first)).isTrue();
        assertThat(queue.removeWaiting(first)).isFalse();
        assertThat(queue.firstWaiting()).isSameAs(second);
        assertThat(queue.removeFirst()).isSameAs(second);
        assertThat(queue.removeFirst()).isNull();
    }

    @Test
    void reportsWhenAllAreAbandoned() {
        QueuedAttempt first = begin();
        QueuedAttempt second = begin();
        assertThat(queue.abandon(new QueuedAttempt()))
                .as("an attempt that is not in the queue")
                .isFalse();
        first.end();
        assertThat(queue.abandon(first)).isFalse();
        second.end();
        assertThat(queue.abandon(second)).isTrue();
    }

    @Test
    void aResponseToAnAbandonedAttemptNoLongerCounts() {
        QueuedAttempt first = begin();
        QueuedAttempt second = begin();
        first.end();
        assertThat(queue.abandon(first)).isFalse();
        assertThat(queue.removeResponded()).isSameAs(first);
        QueuedAttempt third = begin();
        second.end();
        assertThat(queue.abandon(second)).as("the third is still needed").isFalse();
        third.end();
        assertThat(queue.abandon(third)).isTrue();
    }

    @Test
    void agreesWithAListOfAttempts() {
        Random random = new Random(31);
        List<QueuedAttempt> expected = new ArrayList<>();
        int begun = 0;
        for (int step = 0; step < 20_000; step++) {
            int choice = random.nextInt(4);
            if (choice == 0) {
                expected.add(add());
            } else if (choice == 1 && begun < expected.size()) {
                queue.begin(queue.firstWaiting());
                begun++;
            } else if (choice == 2 && begun > 0) {
                assertThat(queue.removeResponded()).isSameAs(expected.remove(0));
                begun--;
            } else if (choice == 3 && begun < expected.size()) {
                int index = begun + random.nextInt(expected.size() - begun);
                assertThat(queue.removeWaiting(expected.remove(index))).isTrue();
            }
            assertThat(queue.size()).isEqualTo(expected.size());
            assertThat(queue.hasWaiting()).isEqualTo(begun < expected.size());
            assertThat(queue.first()).isSameAs(expected.isEmpty() ? null : expected.get(0));
            if (queue.hasWaiting()) {
                assertThat(queue.firstWaiting()).isSameAs(expected.get(begun));
            }
        }
    }
}
