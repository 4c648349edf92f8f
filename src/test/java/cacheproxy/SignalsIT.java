package cacheproxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Signals in series. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SignalsIT {
    @TempDir
    private Path folder;

    private Path daemonFile;
    private String daemonText;
    private Path platformFile;
    private String platformText;
    private int port;

    @BeforeEach
    void writeFiles() throws IOException {
        port = SignalProcess.freePort();
        daemonText = Files.readString(Path.of("deploy/coralbay.toml"))
                .replace("127.0.0.1:11211", "127.0.0.1:" + port)
                .replace("127.0.0.1:11212", "127.0.0.1:0");
        daemonFile = Files.writeString(folder.resolve("coralbay.toml"), daemonText);
        platformText =
                Files.readString(Path.of("src/test/resources/config.json")).replace("127.0.0.1:0", "127.0.0.1:" + port);
        platformFile = Files.writeString(folder.resolve("config.json"), platformText);
    }

    private static void send(Socket client, String command) throws IOException {
        client.getOutputStream().write((command + "\r\n").getBytes(UTF_8));
    }

    private static BufferedReader reader(Socket client) throws IOException {
        return new BufferedReader(new InputStreamReader(client.getInputStream(), UTF_8));
    }

    private String daemonFileRefusingFor(int milliseconds) {
        return daemonText.replace("refuse_ms = 1000", "refuse_ms = " + milliseconds);
    }

    /** Guards against the older of two files in force, where the older takes longer to read than the newer. */
    @Test
    void theNewestOfTwoFilesOfRunIsInForceThoughTheOlderIsReadForLonger() throws Exception {
        try (SignalProcess run = SignalProcess.run(daemonFile);
                Socket client = run.firstConnection(port)) {
            run.awaitLine(line -> line.contains("(open)"));
            try (OutputStream older = replaceByPipe(run, daemonFile)) {
                SignalProcess.replace(daemonFile, daemonFileRefusingFor(7));
                run.signal("HUP");
                run.awaitLine(line -> line.contains("as it is now") || line.contains("read once more"));
                older.write(daemonFileRefusingFor(8).getBytes(UTF_8));
            }
            run.awaitLine(line -> line.contains("as it is now"));
            BufferedReader answers = reader(client);
            String answer = null;
            for (int tries = 0; tries < 500 && !"SERVER_ERROR busy 7".equals(answer); tries++) {
                send(client, "mg health v");
                answer = answers.readLine();
            }
            assertThat(answer).as("the newer file's").isEqualTo("SERVER_ERROR busy 7");
        }
    }

    /** Guards against the older of two configurations in force, where the older takes longer to read. */
    @Test
    void theNewestOfTwoFilesOfServeIsInForceThoughTheOlderIsReadForLonger() throws Exception {
        try (ServerSocket olderDiscovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                ServerSocket newerDiscovery = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
                SignalProcess serve = SignalProcess.serve(platformFile, folder);
                Socket client = serve.firstConnection(port)) {
            send(client, "mn");
            assertThat(reader(client).readLine()).isEqualTo("MN");
            String newer = withDiscovery(newerDiscovery);
            try (OutputStream older = replaceByPipe(serve, platformFile)) {
                SignalProcess.replace(platformFile, newer);
                serve.signal("HUP");
                serve.awaitLine(line -> line.contains("state=reloaded") || line.contains("read once more"));
                older.write(withDiscovery(olderDiscovery).getBytes(UTF_8));
            }
            serve.awaitLine(line -> line.contains("state=reloaded") && line.contains(":" + port(olderDiscovery)));
            serve.awaitLine(line -> line.contains("state=reloaded") && line.contains(":" + port(newerDiscovery)));
        }
    }

    private static String port(ServerSocket socket) {
        return Integer.toString(socket.getLocalPort());
    }

    private String withDiscovery(ServerSocket discovery) {
        return platformText.replace(
                "\"discovery\": \"127.0.0.1:9\"",
                "\"event_log\": true, \"discovery\": \"127.0.0.1:" + discovery.getLocalPort() + "\"");
    }

    /**
     * Puts a pipe in the file's place, and has the process begin to read it; what is written there ends the reading.
     */
    private static OutputStream replaceByPipe(SignalProcess process, Path file) throws Exception {
        Path pipe = file.resolveSibling("pipe");
        assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor())
                .isZero();
        Files.delete(file);
        Files.createLink(file, pipe);
        process.signal("HUP");
        return Files.newOutputStream(pipe); // returns once the process has opened the other end
    }
}
