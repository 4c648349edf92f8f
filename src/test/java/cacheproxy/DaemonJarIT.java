package cacheproxy;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests the daemon's commands of the packaged program, started as an operator starts them. */
@Timeout(120)
class DaemonJarIT {
    @TempDir
    private Path folder;

    private record Result(int code, String out, String err) {}

    private static Process start(String... words) throws IOException {
        List<String> line = new ArrayList<>(
                List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString()));
        line.addAll(List.of(words));
        return new ProcessBuilder(line).start();
    }

    private static Result run(String... words) throws Exception {
        List<String> line = new ArrayList<>(List.of("-jar", "target/cache-proxy.jar"));
        line.addAll(List.of(words));
        Process process = start(line.toArray(new String[0]));
        String out = new String(process.getInputStream().readAllBytes(), UTF_8);
        String err = new String(process.getErrorStream().readAllBytes(), UTF_8);
        return new Result(process.waitFor(), out, err);
    }

    @Test
    void checkAndExplainReportResultsByExitCode() throws Exception {
        assertThat(run("check", "deploy/coralbay.toml")).satisfies(r -> {
            assertThat(r.code).isZero();
            assertThat(r.out).contains("good").contains("3 pools");
        });
        assertThat(run("check", "deploy/siblings.toml").code).isZero();
        Path broken = folder.resolve("broken.toml");
        Files.writeString(
                broken,
                Files.readString(Path.of("deploy/coralbay.toml"))
                        .replace("retry_share", "retries")
                        .replace("pools = [\"next\", \"pages\"]", "pools = [\"nxt\"]"));
        assertThat(run("check", broken.toString())).satisfies(r -> {
            assertThat(r.code).isEqualTo(2);
            assertThat(r.err.lines())
                    .hasSize(2)
                    .allMatch(
                            line -> line.matches(java.util.regex.Pattern.quote(broken.toString()) + ":\\d+:\\d+: .*"));
        });
        Result explain = run("explain", "deploy/coralbay.toml", "v1-news-7", "health", "--why");
        assertThat(explain.code).isZero();
        assertThat(explain.out.lines())
                .first()
                .asString()
                .matches("v1-news-7 route=old-names pool=pages server=p[12] key=page/news/7");
        assertThat(explain.out)
                .contains("health route=health answer=refused after=1000ms")
                .contains("passed over canary");
        assertThat(run("explain", "deploy/coralbay.toml", "k", "--class", "none").code)
                .isEqualTo(2);
        assertThat(run("nothing")).satisfies(r -> {
            assertThat(r.code).isEqualTo(2);
            assertThat(r.err).contains("nothing").doesNotContain("\tat ");
        });
        assertThat(run("run", folder.resolve("none.toml").toString())).satisfies(r -> {
            assertThat(r.code).isEqualTo(2);
            assertThat(r.err.lines()).hasSize(1);
        });
    }

    @Test
    void theDemoAccountsForEveryRequest() throws Exception {
        Result demo = run("demo", "--requests", "3000");
        assertThat(demo.code).as(demo.out + demo.err).isZero();
        assertThat(demo.out.lines().reduce((previous, line) -> line).orElseThrow())
                .matches("sent 3000 served \\d+ refused \\d+ failed \\d+ lost 0 repeated 0");
    }

    @Test
    void runServesReloadsOnSighupAndDrainsOnSigterm() throws Exception {
        Path file = folder.resolve("coralbay.toml");
        int port = freePort();
        String text = Files.readString(Path.of("deploy/coralbay.toml"))
                .replace("127.0.0.1:11211", "127.0.0.1:" + port)
                .replace("127.0.0.1:11212", "127.0.0.1:0");
        Files.writeString(file, text);
        Process process = start("-jar", "target/cache-proxy.jar", "run", file.toString());
        try {
            BufferedReader err = new BufferedReader(new InputStreamReader(process.getErrorStream(), UTF_8));
            assertThat(err.readLine()).isEqualTo("listening on 127.0.0.1:" + port + " (open)");
            try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream(), UTF_8));
                client.getOutputStream().write("mg health v\r\n".getBytes(UTF_8));
                assertThat(in.readLine()).isEqualTo("SERVER_ERROR busy 1000");
                Files.writeString(file, "[[route]");
                hangup(process);
                String line = err.readLine();
                while (!line.contains(file + ":")) {
                    line = err.readLine();
                    assertThat(line).isNotNull();
                }
                assertThat(err.readLine()).isEqualTo("nothing has changed");
                Files.writeString(file, text.replace("refuse_ms = 1000", "refuse_ms = 7"));
                hangup(process);
                assertThat(err.readLine()).contains("as it is now");
                client.getOutputStream().write("mg health v\r\n".getBytes(UTF_8));
                assertThat(in.readLine()).isEqualTo("SERVER_ERROR busy 7");
                process.destroy();
                assertThat(in.readLine()).isNull();
            }
            assertThat(process.waitFor(60, TimeUnit.SECONDS)).isTrue();
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a process that stays up without its listener, as the start failed after addresses were reserved.
     */
    @Test
    void runEndsAtOnceIfItsListenerIsTakenDuringTheStart() throws Exception {
        CountDownLatch polled = new CountDownLatch(1);
        Path file = folder.resolve("coralbay.toml");
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        try (ServerSocket other = new ServerSocket();
                ScriptedServer discovery = new ScriptedServer(connection -> {
                    polled.countDown();
                    connection.awaitEnd();
                })) {
            Files.writeString(
                    file,
                    Files.readString(Path.of("deploy/coralbay.toml"))
                                    .replace("127.0.0.1:11211", "127.0.0.1:" + address.getPort())
                                    .replace("127.0.0.1:11212", "127.0.0.1:0")
                            + "[[pool]]\nname = \"listed\"\n[pool.discovery]\naddress = \"" + discovery.dial()
                            + "\"\nzones = [\"east\"]\nkinds = [\"node\"]\n");
            Process process = start("-jar", "target/cache-proxy.jar", "run", file.toString());
            try {
                polled.await(); // the listeners' addresses are reserved, and listened on once there is a list
                other.setReuseAddress(true);
                other.bind(address);
                assertThat(process.waitFor(30, TimeUnit.SECONDS)).isTrue();
                assertThat(process.exitValue()).isEqualTo(2);
                assertThat(new String(process.getErrorStream().readAllBytes(), UTF_8))
                        .contains("listener at 127.0.0.1:" + address.getPort() + " can't accept clients");
            } finally {
                process.destroyForcibly();
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /**
     * Guards against a damaged snapshot file after the daemon is killed under load while it writes: the daemon starts
     * each time and finds a complete snapshot.
     */
    @Test
    void aDaemonKilledWhileWritingFindsACompleteSnapshotEachTime() throws Exception {
        Path file = folder.resolve("coralbay.toml");
        Path memory = folder.resolve("memory");
        Files.writeString(
                file,
                Files.readString(Path.of("deploy/coralbay.toml")).replaceAll("127.0.0.1:1121[12]", "127.0.0.1:0")
                        + Files.readString(Path.of("deploy/memory.toml"))
                                .replace("coralbay.memory", memory.toString())
                                .replace("period_ms = 2000", "period_ms = 50")
                                .replace("bytes_per_second = 65536", "bytes_per_second = 1e9"));
        assertThat(run("check", file.toString()).code).isZero();
        long generation = 0;
        for (int i = 0; i < 5; i++) {
            Process process = start("-jar", "target/cache-proxy.jar", "run", file.toString());
            try {
                BufferedReader err = new BufferedReader(new InputStreamReader(process.getErrorStream(), UTF_8));
                String line = err.readLine();
                if (i > 0) {
                    assertThat(line).contains("memory: " + memory + ", ").endsWith(" s old");
                    line = err.readLine();
                }
                assertThat(line).contains("listening on");
                int port = Integer.parseInt(line.replaceAll(".*:(\\d+) .*", "$1"));
                try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
                    BufferedReader in = new BufferedReader(new InputStreamReader(client.getInputStream(), UTF_8));
                    // Its servers do not exist, so each request changes the learned state. The first request takes so
                    // long that two writes may happen before its end.
                    for (boolean written = false; !written; ) {
                        client.getOutputStream().write("mg page/1 v\r\n".getBytes(UTF_8));
                        assertThat(in.readLine()).startsWith("SERVER_ERROR");
                        StateSnapshot r = Files.exists(memory)
                                ? cacheproxy.snapshot.SnapshotStore.at(memory)
                                        .read()
                                        .content()
                                : null;
                        written = r != null
                                && r.generation() > generation + 1
                                && r.pools().values().stream()
                                        .anyMatch(k -> !k.learned().servers().isEmpty());
                    }
                }
                assertThat(cacheproxy.snapshot.SnapshotStore.at(memory).tryLock())
                        .as("a second process must run without the snapshot file")
                        .isFalse();
            } finally {
                process.destroyForcibly().waitFor();
            }
            assertThat(run("memory", "verify", memory.toString())).satisfies(r -> {
                assertThat(r.code).as(r.err).isZero();
                assertThat(r.out).contains("whole, generation ");
            });
            generation = cacheproxy.snapshot.SnapshotStore.at(memory)
                    .read()
                    .content()
                    .generation();
        }
        assertThat(run("memory", "show", memory.toString())).satisfies(r -> {
            assertThat(r.code).isZero();
            assertThat(r.out)
                    .contains("site example, proxy 0")
                    .contains("pool pages: answers take")
                    .containsPattern("server \\w{8} at 127.0.0.1:2[13]00");
        });
        byte[] bad = Files.readAllBytes(memory);
        bad[bad.length - 1] ^= 1;
        Files.write(memory, bad);
        assertThat(run("memory", "verify", memory.toString())).satisfies(r -> {
            assertThat(r.code).isEqualTo(1);
            assertThat(r.err.lines())
                    .singleElement()
                    .asString()
                    .startsWith(memory + ": byte ")
                    .endsWith("is damaged");
        });
        Files.write(memory, new byte[100]);
        assertThat(run("memory", "show", memory.toString()).code).isEqualTo(2);
        assertThat(run("memory", "verify", folder.resolve("none").toString())).satisfies(r -> {
            assertThat(r.code).isEqualTo(2);
            assertThat(r.err.trim()).isEqualTo(folder.resolve("none") + ": there is no such file");
        });
    }

    private static void hangup(Process process) throws Exception {
        assertThat(new ProcessBuilder("kill", "-HUP", Long.toString(process.pid()))
                        .start()
                        .waitFor())
                .isZero();
    }

    /** The platform's proxies have 32 MB of memory, so they must not load classes that only the daemon needs. */
    @Test
    void platformCommandsLoadNoDaemonClasses() throws Exception {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xlog:class+load:stdout",
                "-jar",
                "target/cache-proxy.jar",
                "train");
        builder.environment().put("BALANCER_CONFIG", "src/test/resources/config.json");
        builder.environment().put("TMPDIR", folder.toString());
        Process process = builder.redirectErrorStream(true).start();
        String loaded = new String(process.getInputStream().readAllBytes(), UTF_8);
        assertThat(process.waitFor()).isZero();
        assertThat(loaded).contains("cacheproxy.proxy.dispatch.Dispatcher ");
        assertThat(
                        loaded.lines()
                                .filter(
                                        line -> line.matches(
                                                ".*(cacheproxy\\.(cli|daemon|routes|limits(?!\\.(ServerCapacity|ConnectionShortage))|fakes|bench)\\."
                                                        + "|cacheproxy\\.config\\.(Daemon|Toml)|cacheproxy\\.(nginx|hooks|snapshot|icp|htcp|siblings\\.(?!Siblings))|org\\.tomlj|picocli|re2j|antlr|dylibso).*")))
                .isEmpty();
    }
}
