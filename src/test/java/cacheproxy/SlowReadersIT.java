package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests on a real process, with the direct memory of the deploy file, that slow clients leave others their answers. */
@Timeout(120)
class SlowReadersIT {
    private static final int NODES = 3;
    private static final int SLOW_CLIENTS = 40;
    private static final int PIPELINED = 32;
    private static final int LONG_BYTES = 4_000_000;
    private static final int QUEUED_BYTES = 64_000;
    private static final int REQUESTS = 1500;
    private static final int DEADLINE_MS = 300;
    /** Up to half a second after its deadline an answer is late, but not lost. */
    private static final int GRACE_MS = 500;

    @TempDir
    private Path folder;

    /** A node whose values are as long as the ids of the requests tell. */
    private static ScriptedServer node() throws IOException {
        byte[] value = new byte[LONG_BYTES];
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                String id = ScriptedServer.requestId(line);
                int length = id.startsWith("long") ? LONG_BYTES : id.startsWith("queued") ? QUEUED_BYTES : 5;
                connection.send("VA " + length + " O" + id + " h1\r\n");
                connection.out.write(value, 0, length);
                connection.send("\r\n");
            }
        });
    }

    private static String read(String id, int deadlineMs) {
        return "mg key" + id + " v O" + id + " Pc=seg-text,d=" + deadlineMs;
    }

    /** A client that sends many reads at once, the first one of a long value, and reads nothing. */
    private static ServeProcess.Client slowClient(ServeProcess proxy, int number) throws IOException {
        ServeProcess.Client client = proxy.client();
        StringBuilder commands = new StringBuilder(read("long" + number, 20_000));
        for (int i = 1; i < PIPELINED; i++) {
            commands.append("\r\n").append(read("queued" + number + "n" + i, 20_000));
        }
        client.send(commands.toString());
        return client;
    }

    /** Guards against requests that get no answer, as what others do not read has filled the memory. */
    @Test
    void answersUsualClientsWhileOthersDoNotRead() throws Exception {
        ServeProcess proxy = new ServeProcess(folder).javaOption("-XX:MaxDirectMemorySize=32m");
        for (int i = 0; i < NODES; i++) {
            proxy.node(node());
        }
        List<ServeProcess.Client> slow = new ArrayList<>();
        try (proxy;
                ServeProcess.Client usual = proxy.start().client()) {
            usual.setTimeoutMs(DEADLINE_MS + GRACE_MS);
            for (int i = 0; i < SLOW_CLIENTS; i++) {
                slow.add(slowClient(proxy, i));
            }
            int served = 0;
            for (int i = 0; i < REQUESTS; i++) {
                usual.send(read("usual" + i, DEADLINE_MS));
                String line = usual.line();
                assertThat(line).as("request %s", i).matches("VA 5 Ousual" + i + "|SERVER_ERROR (busy|failed).*");
                if (line.startsWith("VA")) {
                    assertThat(usual.line()).isEqualTo("\0\0\0\0\0");
                    served++;
                }
            }
            assertThat(served).as("requests that were served").isGreaterThan(REQUESTS / 2);
        } finally {
            for (ServeProcess.Client client : slow) {
                client.close();
            }
        }
    }
}
