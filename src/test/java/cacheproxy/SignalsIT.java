package cacheproxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

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
import org.junit.jupiter.api.RepeatedTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests signals at the times at which an operator or a supervisor may send them: with the first connection, before it,
 * repeatedly and mixed. The property {@code signals.starts} sets the number of repetitions, for long manual runs.
 */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class SignalsIT {
    /** The exit code of a process that SIGTERM has ended: 128 plus the signal's number. */
    private static final int ENDED_BY_SIGTERM = 143;

    private static final int STARTS = Integer.getInteger("signals.starts", 3);

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

    private static ServerSocket silentSocket() throws IOException {
        ServerSocket socket = new ServerSocket(0, 5, InetAddress.getLoopbackAddress());
        socket.setSoTimeout(60_000);
        return socket;
    }

    /** A pool whose endpoint list is awaited before clients are accepted. */
    private static String poolListedBy(ServerSocket discovery) {
        return "\n[[pool]]\nname = \"listed\"\n[pool.discovery]\naddress = \"127.0.0.1:" + discovery.getLocalPort()
                + "\"\nzones = [\"east\"]\nkinds = [\"node\", \"origin\"]\norigin_kind = \"origin\"\n";
    }

    /** Guards against SIGHUP ending a daemon that has accepted its first connection. */
    @Test
    void sighupWithTheFirstConnectionOfRunIsRemembered() throws Exception {
        for (int start = 0; start < STARTS; start++) {
            SignalProcess.replace(daemonFile, daemonText);
            try (SignalProcess run = SignalProcess.run(daemonFile);
                    Socket client = run.firstConnection(port)) {
                SignalProcess.replace(daemonFile, daemonFileRefusingFor(7));
                run.signal("HUP");
                run.awaitLine(line -> line.contains("as it is now"));
                send(client, "mg health v");
                assertThat(reader(client).readLine()).isEqualTo("SERVER_ERROR busy 7");
                assertThat(run.isAlive()).isTrue();
            }
        }
    }

    /** Guards against a command that is cut by a SIGTERM just after the daemon's first connection. */
    @Test
    void sigtermWithTheFirstCommandOfRunAnswersItAndDrains() throws Exception {
        for (int start = 0; start < STARTS; start++) {
            try (SignalProcess run = SignalProcess.run(daemonFile);
                    Socket client = run.firstConnection(port)) {
                send(client, "mg health v");
                run.signal("TERM");
                BufferedReader answers = reader(client);
                assertThat(answers.readLine()).isEqualTo("SERVER_ERROR busy 1000");
                assertThat(answers.readLine()).isNull();
                assertThat(run.awaitEnd()).isEqualTo(ENDED_BY_SIGTERM);
            }
        }
    }

    /** Guards against a command that is cut by a SIGTERM just after the platform proxy's first connection. */
    @Test
    void sigtermWithTheFirstCommandOfServeAnswersItAndDrains() throws Exception {
        for (int start = 0; start < STARTS; start++) {
            try (SignalProcess serve = SignalProcess.serve(platformFile, folder);
                    Socket client = serve.firstConnection(port)) {
                send(client, "mn");
                serve.signal("TERM");
                BufferedReader answers = reader(client);
                assertThat(answers.readLine()).isEqualTo("MN");
                assertThat(answers.readLine()).isNull();
                assertThat(serve.awaitEnd()).isEqualTo(ENDED_BY_SIGTERM);
            }
        }
    }

    /** Guards against a SIGHUP that is lost between the platform proxy's first connection and its handler. */
    @Test
    void sighupWithTheFirstConnectionOfServeIsRemembered() throws Exception {
        for (int start = 0; start < STARTS; start++) {
            SignalProcess.replace(platformFile, platformText);
            try (SignalProcess serve = SignalProcess.serve(platformFile, folder);
                    Socket client = serve.firstConnection(port)) {
                SignalProcess.replace(platformFile, "{");
                serve.signal("HUP");
                serve.awaitLine(line -> line.contains("config.json"));
                send(client, "mn");
                assertThat(reader(client).readLine()).isEqualTo("MN");
            }
        }
    }

    /** Guards against a start that still accepts connections after SIGTERM, and then cuts them. */
    @Test
    void sigtermBeforeTheFirstConnectionEndsTheStart() throws Exception {
        try (ServerSocket silentDiscovery = silentSocket()) {
            SignalProcess.replace(daemonFile, daemonText + poolListedBy(silentDiscovery));
            try (SignalProcess run = SignalProcess.run(daemonFile);
                    Socket discoveryCall = silentDiscovery.accept()) {
                assertThat(discoveryCall.isConnected()).isTrue();
                run.signal("TERM");
                assertThat(run.awaitEnd()).isEqualTo(ENDED_BY_SIGTERM);
                assertThat(run.restOfErrors()).noneMatch(line -> line.startsWith("listening on"));
            }
        }
    }

    /** Guards against a SIGHUP during the start that ends the process or is lost. */
    @Test
    void sighupBeforeTheFirstConnectionIsRemembered() throws Exception {
        try (ServerSocket silentDiscovery = silentSocket()) {
            String waiting = daemonText + poolListedBy(silentDiscovery);
            SignalProcess.replace(daemonFile, waiting);
            try (SignalProcess run = SignalProcess.run(daemonFile);
                    Socket discoveryCall = silentDiscovery.accept()) {
                assertThat(discoveryCall.isConnected()).isTrue();
                SignalProcess.replace(daemonFile, waiting.replace("refuse_ms = 1000", "refuse_ms = 7"));
                run.signal("HUP");
                run.awaitLine(line -> line.contains("as it is now"));
                try (Socket client = run.firstConnection(port)) {
                    send(client, "mg health v");
                    assertThat(reader(client).readLine()).isEqualTo("SERVER_ERROR busy 7");
                }
            }
        }
    }

    /** Guards against a start that accepts connections, finds the control address in use, and cuts them. */
    @Test
    void aStartWithItsControlAddressInUseAcceptsNoConnection() throws Exception {
        try (ServerSocket taken = silentSocket()) {
            SignalProcess.replace(
                    platformFile,
                    platformText.replace("\"listen\":", "\"control\": \"127.0.0.1:" + port(taken) + "\", \"listen\":"));
            for (int start = 0; start < STARTS; start++) {
                try (SignalProcess serve = SignalProcess.serve(platformFile, folder)) {
                    assertThatThrownBy(() -> serve.firstConnection(port))
                            .isInstanceOf(AssertionError.class)
                            .hasMessage("ended with 1");
                    assertThat(serve.restOfErrors()).anyMatch(line -> line.contains("control"));
                }
            }
        }
    }

    /** Guards against the older of two files taking effect last because it takes longer to read than the newer one. */
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
            assertThat(answer).as("the newer file takes effect").isEqualTo("SERVER_ERROR busy 7");
        }
    }

    /** Guards against the older of two configurations taking effect last because it takes longer to read. */
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
     * Replaces the file by a pipe and makes the process start to read it. The read ends when text has been written to
     * the returned stream and the stream is closed.
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

    /** Guards against a second SIGTERM, or a SIGHUP between two, that cuts the drain short. */
    @RepeatedTest(2)
    void repeatedSignalsDoNotCutTheDrainShort() throws Exception {
        try (SignalProcess run = SignalProcess.run(daemonFile);
                Socket client = run.firstConnection(port)) {
            send(client, "mg health v");
            for (String signal : new String[] {"HUP", "TERM", "TERM", "HUP", "TERM"}) {
                run.signal(signal);
            }
            BufferedReader answers = reader(client);
            assertThat(answers.readLine()).isEqualTo("SERVER_ERROR busy 1000");
            assertThat(answers.readLine()).isNull();
            assertThat(run.awaitEnd()).isEqualTo(ENDED_BY_SIGTERM);
        }
    }
}
