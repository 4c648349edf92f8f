package cacheproxy.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that a value for which there is no memory is discarded, and that its connection and others go on. */
@Timeout(60)
class MemoryShortageTest {
    private static final String MAY_CANCEL = "caps.may-cancel";
    private static final String BUSY = "SERVER_ERROR busy";
    private static final String VALUE = "x".repeat(60_000);

    private static String hit(String id) {
        return "VA " + VALUE.length() + " O" + id + " h1\r\n" + VALUE + "\r\n";
    }

    /** Lets an action of the test use the account on the event loop, and waits until it has. */
    private static void onLoop(Proxy proxy, Consumer<MemoryAccount> action) throws InterruptedException {
        CountDownLatch done = new CountDownLatch(1);
        proxy.runAfter(0, () -> {
            action.accept(proxy.loopContext().memory());
            done.countDown();
        });
        done.await();
    }

    private static void takeResponseMemory(Proxy proxy) throws InterruptedException {
        onLoop(proxy, memory -> memory.charge(MemoryPurpose.RESPONSE, memory.maxBytes(MemoryPurpose.RESPONSE)));
    }

    private static void giveResponseMemoryBack(Proxy proxy) throws InterruptedException {
        onLoop(proxy, memory -> memory.release(MemoryPurpose.RESPONSE, memory.maxBytes(MemoryPurpose.RESPONSE)));
    }

    private static void assertServed(Fleet.Client client, String id) throws IOException {
        assertThat(client.read(id).line()).isEqualTo("VA " + VALUE.length() + " O" + id);
        assertThat(client.line()).isEqualTo(VALUE);
    }

    /** Guards against a connection to a server whose responses are out of step after a value has been discarded. */
    @Test
    void readIsRejectedAndItsConnectionIsUsedAgain() throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> hit(ScriptedServer.requestId(line)));
        try (Fleet fleet = new Fleet().node(node).set(MAY_CANCEL, "false").start();
                Fleet.Client client = fleet.client()) {
            assertServed(client, "1");
            takeResponseMemory(fleet.proxy);
            assertThat(client.read("2").line()).startsWith(BUSY);
            giveResponseMemoryBack(fleet.proxy);
            assertServed(client, "3");
            assertThat(node.accepted).hasSize(1);
        }
    }

    /**
     * Guards against the same where the value arrives in parts, and the memory is back before its end. If attempts may
     * be cancelled, the connection may be closed instead.
     */
    @ParameterizedTest
    @ValueSource(strings = {"false", "true"})
    void valueThatArrivesInPartsIsDiscardedToItsEnd(String mayCancel) throws Exception {
        CountDownLatch rejected = new CountDownLatch(1);
        ScriptedServer node = new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String id = ScriptedServer.requestId(line);
                String answer = hit(id);
                connection.send(answer.substring(0, answer.length() / 2));
                if (id.equals("2")) {
                    rejected.await();
                }
                connection.send(answer.substring(answer.length() / 2));
            }
        });
        try (Fleet fleet = new Fleet().node(node).set(MAY_CANCEL, mayCancel).start();
                Fleet.Client client = fleet.client()) {
            assertServed(client, "1");
            takeResponseMemory(fleet.proxy);
            assertThat(client.read("2").line()).startsWith(BUSY);
            giveResponseMemoryBack(fleet.proxy);
            rejected.countDown();
            assertServed(client, "3");
        }
    }

    /** Guards against the same over HTTP. */
    @ParameterizedTest
    @ValueSource(strings = {"false", "true"})
    void bodyOfTheOriginIsDiscarded(String mayCancel) throws Exception {
        ScriptedServer node = ScriptedServer.node(line -> "EN O" + ScriptedServer.requestId(line) + " h0\r\n");
        ScriptedServer origin = new ScriptedServer(connection -> {
            while (connection.readRequest() != null) {
                connection.sendHttp(200, "", VALUE);
            }
        });
        try (Fleet fleet = new Fleet()
                        .node(node)
                        .origin(origin)
                        .set(MAY_CANCEL, mayCancel)
                        .start();
                Fleet.Client client = fleet.client()) {
            assertServed(client, "1");
            takeResponseMemory(fleet.proxy);
            assertThat(client.read("2").line()).startsWith(BUSY);
            giveResponseMemoryBack(fleet.proxy);
            assertServed(client, "3");
        }
    }
}
