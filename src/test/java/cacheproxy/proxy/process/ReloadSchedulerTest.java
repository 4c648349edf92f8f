package cacheproxy.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests that reloads run one at a time, that none is lost, and that the newest file is applied last. */
@Timeout(30)
class ReloadSchedulerTest {
    private final LinkedBlockingQueue<String> lines = new LinkedBlockingQueue<>();
    private final ReloadScheduler scheduler = new ReloadScheduler(lines::add);

    /** Guards against a SIGHUP that is lost because it comes before the start is complete. */
    @Test
    void requestsBeforeTheStartAreRunOnceAfterIt() throws Exception {
        LinkedBlockingQueue<String> reloads = new LinkedBlockingQueue<>();
        scheduler.request();
        scheduler.request();
        scheduler.start(() -> reloads.add("reload"));
        assertThat(reloads.poll(20, TimeUnit.SECONDS)).isEqualTo("reload");
        scheduler.request();
        assertThat(reloads.poll(20, TimeUnit.SECONDS)).isEqualTo("reload");
        assertThat(reloads).isEmpty();
    }

    /** Guards against two concurrent reloads, of which the one with the older file may end last. */
    @Test
    void requestsDuringAReloadRunOneMoreAfterItWithTheFileAsItIsThen() throws Exception {
        AtomicReference<String> file = new AtomicReference<>("older");
        CountDownLatch reading = new CountDownLatch(1);
        CountDownLatch replaced = new CountDownLatch(1);
        LinkedBlockingQueue<String> adopted = new LinkedBlockingQueue<>();
        scheduler.start(() -> {
            String read = file.get();
            reading.countDown();
            try {
                replaced.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            adopted.add(read);
        });
        scheduler.request();
        reading.await();
        file.set("newer");
        scheduler.request();
        scheduler.request();
        assertThat(adopted).isEmpty();
        replaced.countDown();
        List<String> inOrder = new ArrayList<>();
        inOrder.add(adopted.poll(20, TimeUnit.SECONDS));
        inOrder.add(adopted.poll(20, TimeUnit.SECONDS));
        assertThat(inOrder).containsExactly("older", "newer");
        assertThat(lines).hasSize(2).allMatch(line -> line.contains("read once more"));
    }

    /** Guards against an unexpected failure of a reload that prevents all later reloads. */
    @Test
    void aReloadThatThrowsIsReportedAndTheNextOneRuns() throws Exception {
        LinkedBlockingQueue<String> reloads = new LinkedBlockingQueue<>();
        scheduler.start(() -> {
            reloads.add("reload");
            throw new IllegalStateException("planted");
        });
        scheduler.request();
        assertThat(nextFailure()).contains("planted");
        scheduler.request();
        assertThat(nextFailure()).contains("planted");
        assertThat(reloads).hasSize(2);
    }

    /** The next line, except those about requests that arrive before the thread of the previous reload has ended. */
    private String nextFailure() throws InterruptedException {
        String line = lines.poll(20, TimeUnit.SECONDS);
        while (line != null && line.contains("read once more")) {
            line = lines.poll(20, TimeUnit.SECONDS);
        }
        return line;
    }
}
