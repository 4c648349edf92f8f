package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests clients that disconnect while the proxy's process is paused: no attempt begins for them after it resumes. */
@Timeout(60)
class AbandonedRequestIT {
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final int ROUNDS = 8;

    @TempDir
    private Path folder;

    /**
     * Guards against a retry for a client that closed its connection long ago, because the proxy notices the close only
     * after it has sent the retry.
     */
    @Test
    void noRetryBeginsForAClientThatHasClosedDuringAPause() throws Exception {
        BlockingQueue<String> arrivals = new LinkedBlockingQueue<>();
        BlockingQueue<CountDownLatch> refusals = new LinkedBlockingQueue<>();
        BlockingQueue<String> refused = new LinkedBlockingQueue<>();
        ScriptedServer.Script refusing = connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                CountDownLatch mayRefuse = new CountDownLatch(1);
                refusals.add(mayRefuse);
                arrivals.add(ScriptedServer.requestId(line));
                mayRefuse.await();
                connection.send("SERVER_ERROR busy\r\n");
                refused.add("busy");
            }
        };
        try (ServeProcess proxy = new ServeProcess(folder)
                .node(new ScriptedServer(refusing))
                .node(new ScriptedServer(refusing))
                .node(new ScriptedServer(refusing))
                .start()) {
            for (int round = 0; round < ROUNDS; round++) {
                String id = "gone" + round;
                ServeProcess.Client client = proxy.client();
                client.send("mg 7f3a9c21e0b4d65" + round + " v O" + id + " Pc=seg-text,d=20000");
                assertThat(arrivals.poll(20, TimeUnit.SECONDS)).isEqualTo(id);
                proxy.pause();
                refusals.take().countDown(); // the rejection arrives before the close and may be read first
                refused.take();
                client.close();
                LockSupport.parkNanos(PAUSE_NANOS);
                proxy.signal("CONT");
                try (ServeProcess.Client later = proxy.client()) {
                    later.send("mn"); // read in a later turn of the event loop than the rejection and the close
                    assertThat(later.line()).isEqualTo("MN");
                }
                assertThat(arrivals.poll(100, TimeUnit.MILLISECONDS))
                        .as("an attempt for a client that has disconnected, round %d", round)
                        .isNull();
            }
        }
    }
}
