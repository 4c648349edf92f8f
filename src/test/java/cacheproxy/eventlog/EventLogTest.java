package cacheproxy.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Lines are whole and bounded, and whoever logs never waits for whoever writes. */
@Timeout(20)
class EventLogTest {
    private static EventLog log(OutputStream target, long maxBytes, int maxLines) {
        return new EventLog(new PrintStream(target, true), () -> 1_796_203_542_007.4, maxBytes, maxLines);
    }

    private static void say(EventLog log, String id) {
        log.line(ProxyEvent.ATTEMPT_ENDED).with("id", id).withMs("ms", 1.26).write();
    }

    @Test
    void aLineHasItsEventTimeAndFieldsWhateverAClientSends() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = log(out, 1000, 10);
        assertThat(log.isEnabled()).isFalse();
        log.enable();
        say(log, "a b\nattempt_ended id=c");
        log.close();
        assertThat(out)
                .hasToString(
                        "attempt_ended t=1796203542.007 id=a_b_attempt_ended_id=c ms=1.3" + System.lineSeparator());
        assertThat(log.isEnabled()).isFalse();
    }

    @Test
    void theBytesOfOneEnablingAreBoundedAndEnablingAnewAllowsThemAgain() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        EventLog log = log(out, 100, 1000);
        log.enable();
        for (int i = 0; i < 50; i++) {
            say(log, "x");
        }
        log.close();
        long written = out.toString()
                .lines()
                .filter(l -> l.startsWith("attempt_ended"))
                .count();
        assertThat(written * 40).as("bytes of %s lines", written).isBetween(60L, 100L);
        assertThat(log.dropped()).isEqualTo(50 - written);
        log.enable();
        say(log, "again");
        log.close();
        assertThat(out.toString())
                .contains("lines_dropped t=1796203542.007 lines=")
                .contains("id=again");
    }

    @Test
    void aTargetThatIsStuckHoldsUpNobodyAndTheQueueIsBounded() throws Exception {
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch go = new CountDownLatch(1);
        EventLog log = log(
                new OutputStream() {
                    @Override
                    public void write(int b) {
                        stuck.countDown();
                        try {
                            go.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                },
                1 << 20,
                20);
        log.enable();
        say(log, "first");
        stuck.await();
        for (int i = 0; i < 100; i++) {
            say(log, "x");
        }
        assertThat(log.dropped()).isEqualTo(80);
        go.countDown();
        log.close();
    }
}
