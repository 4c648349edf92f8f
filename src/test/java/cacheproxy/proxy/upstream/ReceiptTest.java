package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.request.MetaCodec;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests that clients get what can be a receipt, as it came, and no noise of servers. */
@Timeout(20)
class ReceiptTest {
    private static final String KEYED_WRITE = "ms 7f3a 5 O1 Pc=publish,d=20000,k=0123456789abcdef\r\nhello\r\n";

    private static String unsafeWrite(String id) {
        return "ms 7f3a 5 O" + id + " Pc=fix,d=20000\r\nhello\r\n";
    }

    /** An origin that sends this body to the first request, and a receipt to each further one. */
    private static ScriptedServer originWithFirstBody(String body) throws Exception {
        return new ScriptedServer(connection -> {
            for (String request; (request = connection.readRequest()) != null; ) {
                String id = ScriptedServer.requestId(request);
                connection.sendHttp(200, "", id.equals("noise") ? body : "r" + id);
            }
        });
    }

    static String[] bodiesThatAreNoReceipts() {
        return new String[] {
            "",
            "one\r\ntwo\r\nthree\r\n",
            "one\r\n",
            "one\n",
            " one",
            "one ",
            "one two",
            "one\ttwo",
            "one\rtwo",
            "one\0",
            "caf\u00e9",
            "x".repeat(MetaCodec.MAX_RECEIPT_LENGTH + 1)
        };
    }

    /** Guards against noise of the origin that a client takes for the receipt and for the answers to later commands. */
    @ParameterizedTest
    @MethodSource("bodiesThatAreNoReceipts")
    void failsUnsafeWriteWithoutReceiptAndClosesItsConnection(String body) throws Exception {
        ScriptedServer origin = originWithFirstBody(body);
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            client.send(unsafeWrite("noise"));
            origin.awaitCommand();
            client.send(unsafeWrite("2") + "mn\r\n");
            assertThat(client.line()).isEqualTo("SERVER_ERROR failed");
            assertThat(client.line()).isEqualTo("HD O2 cr2");
            assertThat(client.line()).isEqualTo("MN");
            assertThat(origin.accepted)
                    .as("the connection with the noise is closed")
                    .hasSize(2);
            origin.awaitCommand();
            assertThat(origin.commands).as("an unsafe write is not repeated").isEmpty();
        }
    }

    @Test
    void repeatsKeyedWriteWithoutReceipt() throws Exception {
        int[] requests = {0};
        ScriptedServer origin = new ScriptedServer(connection -> {
            while (connection.readRequest() != null) {
                connection.sendHttp(200, "", ++requests[0] == 1 ? "two\r\nlines" : "r" + requests[0]);
            }
        });
        try (Fleet fleet = new Fleet().origin(origin).start();
                Fleet.Client client = fleet.client()) {
            assertThat(client.send(KEYED_WRITE).line()).isEqualTo("HD O1 cr2");
        }
    }

    @Test
    void passesOnLongestReceipt() throws Exception {
        String receipt = "~".repeat(MetaCodec.MAX_RECEIPT_LENGTH);
        try (Fleet fleet = new Fleet().origin(originWithFirstBody(receipt)).start();
                Fleet.Client client = fleet.client()) {
            assertThat(client.send(unsafeWrite("noise")).line()).isEqualTo("HD Onoise c" + receipt);
        }
    }

    /** Guards against noise in the receipt of a cache server, where these take writes. */
    @ParameterizedTest
    @ValueSource(strings = {"c", "cone\rtwo", "cone\ttwo", "ccaf\u00e9", ""})
    void failsUnsafeWriteWithoutReceiptOfCacheServer(String flag) throws Exception {
        ScriptedServer node = new ScriptedServer(connection -> {
            String line = connection.readCommand();
            connection.readLine();
            connection.send("HD O" + ScriptedServer.requestId(line) + " " + flag + "\r\n");
            connection.awaitEnd();
        });
        try (Fleet fleet = new Fleet().set("extra.mode", "through").node(node).start();
                Fleet.Client client = fleet.client()) {
            assertThat(client.send(unsafeWrite("1")).line()).isEqualTo("SERVER_ERROR failed");
        }
    }
}
