package cacheproxy.eventlog;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Format and bounds of the lines; logging never waits for the writer. */
@Timeout(20)
class EventLogTest {
    private static EventLog log(OutputStream target, long maxBytes, int maxLines) {
        return new EventLog(
                new PrintStream(target, true, StandardCharsets.UTF_8), () -> 1_796_203_542_007.4, maxBytes, maxLines);
    }

    private static void writeLine(EventLog log, String id) {
        log.line(ProxyEvent.ATTEMPT_ENDED).with("id", id).withMs("ms", 1.26).write();
    }

    @Test
    void replacesSpacesAndControlCharactersInValues() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        EventLog log = log(output, 1000, 10);
        assertThat(log.isEnabled()).isFalse();
        log.enable();
        writeLine(log, "a b\nattempt_ended id=c");
        log.close();
        assertThat(output)
                .hasToString(
                        "attempt_ended t=1796203542.007 id=a_b_attempt_ended_id=c ms=1.3" + System.lineSeparator());
        assertThat(log.isEnabled()).isFalse();
    }

    @Test
    void limitsBytesPerEnablingAndResetsOnReenable() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        EventLog log = log(output, 100, 1000);
        log.enable();
        for (int i = 0; i < 50; i++) {
            writeLine(log, "x");
        }
        log.close();
        long written = output.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("attempt_ended"))
                .count();
        assertThat(written * 40).as("bytes of %s lines", written).isBetween(60L, 100L);
        assertThat(log.droppedLines()).isEqualTo(50 - written);
        log.enable();
        writeLine(log, "again");
        log.close();
        assertThat(output.toString(StandardCharsets.UTF_8))
                .contains("lines_dropped t=1796203542.007 lines=")
                .contains("id=again");
    }

    @Test
    void blockedTargetDoesNotBlockLoggingThread() throws Exception {
        CountDownLatch stuck = new CountDownLatch(1);
        CountDownLatch released = new CountDownLatch(1);
        EventLog log = log(
                new OutputStream() {
                    @Override
                    public void write(int value) {
                        stuck.countDown();
                        try {
                            released.await();
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    }
                },
                1 << 20,
                20);
        log.enable();
        writeLine(log, "first");
        stuck.await();
        for (int i = 0; i < 100; i++) {
            writeLine(log, "x");
        }
        assertThat(log.droppedLines()).isEqualTo(80);
        released.countDown();
        log.close();
    }
}
