package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** What SIGTERM begins: everything taken is answered, connections end between requests, and it comes to an end. */
class DrainTest {
    @Test
    void respondsToPendingRequestsBeforeClosing() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            String line = connection.command();
            release.await();
            connection.say("VA 5 O" + ScriptedServer.id(line) + " h1\r\nhello\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().node(node).start();
                Fleet.Client idle = fleet.client();
                Fleet.Client busy = fleet.client();
                Fleet.Client half = fleet.client()) {
            assertThat(idle.say("mn\r\n").line()).isEqualTo("MN");
            half.say("mn\r\nm");
            assertThat(half.line()).isEqualTo("MN");
            busy.read("1");
            node.next();
            Thread drain = new Thread(fleet.proxy::drain);
            drain.start();
            assertThat(idle.ended()).isTrue();
            release.countDown();
            assertThat(busy.line()).isEqualTo("VA 5 O1");
            assertThat(busy.line()).isEqualTo("hello");
            assertThat(busy.ended()).isTrue();
            half.say("n\r\n"); // a command that had been begun is still answered
            assertThat(half.line()).isEqualTo("MN");
            assertThat(half.ended()).isTrue();
            idle.close();
            busy.close();
            half.close();
            drain.join();
        }
    }
}
