package cacheproxy.daemon.hooks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.config.ConfigException;
import cacheproxy.daemon.DaemonHarness;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.FakeOrigin;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.LoadClient.LoadRequest;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Hooks in the daemon: their orders are carried out, and hostile hooks on one listener do not affect another. */
class HooksTest {
    private static final Path HOSTILE_HOOKS =
            Path.of("src/test/resources/hooks").toAbsolutePath();
    private static final Path SAMPLE_HOOKS = Path.of("hooks").toAbsolutePath();

    @TempDir
    private Path dir;

    private static String hook(Path module, String keys) {
        return "[[hook]]\nname = \"h\"\nmodule = \"" + module + "\"\n" + keys + "\n";
    }

    private static String file(FakeFleet fleet, String hook) {
        return DaemonHarness.LIMITS
                + DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + DaemonHarness.listener("hostile", "127.0.0.1:0")
                + hook
                + DaemonHarness.pool("a", fleet, "", fleet.nodes.get(0), fleet.nodes.get(1))
                + DaemonHarness.route("all", "", "a");
    }

    private static LoadRequest request(int index) {
        String key = "page/" + index % 100;
        return index % 4 == 0
                ? new LoadRequest("s/" + index, "c=submit", "submit-" + index, null)
                : index % 4 == 1
                        ? new LoadRequest("p/" + index, "c=publish,k=publish-" + index, "publish-" + index, null)
                        : new LoadRequest(key, "c=page", null, null);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "spin",
                "recurse",
                "trap",
                "divide",
                "grow",
                "grow-touch",
                "pointer",
                "negative",
                "long",
                "alloc-far",
                "utf8",
                "long-key",
                "space-key",
                "control-key",
                "empty-key",
                "lower",
                "unknown-class",
                "unknown-route",
                "unknown-tenant",
                "later",
                "twice",
                "unknown-order",
                "cut",
                "refuse",
                "rekey",
                "unsafe",
                "logs",
                "log-far",
                "config-far",
                "alternates",
                "burns",
                "state",
                "sometimes",
                "steals-fuel",
                "copies",
                "answers"
            })
    void isolatesHostileHookAndConcludesItsRequestsOnce(String name) throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        String rule = name.hashCode() % 2 == 0 ? "skip" : "refuse";
        String keys =
                "listener = \"hostile\"\nqueue = 8\nrefuse_ms = 1\nbreaker_off_ms = 20\non_failure = \"" + rule + "\"";
        try (DaemonHarness harness =
                new DaemonHarness(fleet, file(fleet, hook(HOSTILE_HOOKS.resolve(name + ".wasm"), keys)))) {
            int total = 400;
            CompletableFuture<LoadClient.LoadResult> hostile = new LoadClient(
                            fleet.loop(), harness.daemon.address("hostile"), total, HooksTest::request)
                    .start(4, 8);
            CompletableFuture<LoadClient.LoadResult> normal = new LoadClient(
                            fleet.loop(),
                            harness.daemon.address("main"),
                            total,
                            i -> new LoadRequest("n/" + i, "c=page", null, FakeOrigin.value("n/" + i)))
                    .start(4, 4);
            LoadClient.LoadResult normalAccount = normal.get(100, TimeUnit.SECONDS);
            assertThat(normalAccount.errors).isEmpty();
            assertThat(normalAccount.answered()).isEqualTo(total);
            assertThat(normalAccount.failed).isZero();
            LoadClient.LoadResult hostileAccount = hostile.get(100, TimeUnit.SECONDS);
            assertThat(hostileAccount.errors).isEmpty();
            assertThat(hostileAccount.answered()).isEqualTo(total);
            assertThat(hostileAccount.refusedWithoutRetryAfter).isZero();
            assertThat(fleet.ledger.repeatedEffects()).isZero();
            while (harness.daemon.pendingRequests() > 0) {
                Thread.onSpinWait();
            }
        }
    }

    @Test
    void carriesOutOrders() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        String more =
                DaemonHarness.CLASSES.isEmpty() ? "" : "[[tenant]]\nname = \"red\"\n[[tenant]]\nname = \"blue\"\n";
        String hooks = more + "[[hook]]\nname = \"keys\"\nmodule = \"" + SAMPLE_HOOKS.resolve("key-schemes.wasm")
                + "\"\ntime_ms = 10000\n[[hook]]\nname = \"tenants\"\n" + "module = \""
                + SAMPLE_HOOKS.resolve("tenant-list.wasm")
                + "\"\nlistener = [\"main\"]\norder = -1\ntime_ms = 10000\nconfig = \"blue\"\n";
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet, hooks));
                DaemonHarness.ManualClient client = harness.connect()) {
            client.send("mg A:7/vi v\r\n");
            assertThat(client.lines(2)).containsExactly("VA 17", "value of sub/7/vi");
            client.send("mg C|vi|7 v Pt=red\r\n");
            assertThat(client.lines(2)).containsExactly("VA 17", "value of sub/7/vi");
            assertThat(client.send("mg A:7/vi v Pt=blue\r\n").line()).startsWith("SERVER_ERROR busy ");
            assertThat(client.send("ms b-8-vi 3 Pc=submit\r\nabc\r\n").line()).isEqualTo("HD");
        }
    }

    @Test
    void callsHookOnlyForItsRoute() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        String hooks = "[[hook]]\nname = \"keys\"\nroute = \"rivals\"\nmodule = \""
                + SAMPLE_HOOKS.resolve("key-schemes.wasm") + "\"\ntime_ms = 10000\n";
        String file = file(fleet, hooks) + DaemonHarness.route("rivals", "prefix = \"A:\"", "a");
        try (DaemonHarness harness = new DaemonHarness(fleet, file);
                DaemonHarness.ManualClient client = harness.connect()) {
            assertThat(client.send("mg A:7/vi v\r\n").lines(2)).containsExactly("VA 17", "value of sub/7/vi");
            assertThat(client.send("mg b-7-vi v\r\n").lines(2)).containsExactly("VA 15", "value of b-7-vi");
        }
        assertThatThrownBy(() -> new DaemonHarness(fleet, file(fleet, hooks)))
                .isInstanceOfSatisfying(
                        ConfigException.class,
                        thrown -> assertThat(thrown.errors().get(0)).contains("there is no route 'rivals'"));
    }

    @Test
    void reportsPlaceOfUnloadableModuleAndKeepsOldOne() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        String good = file(fleet, hook(SAMPLE_HOOKS.resolve("key-schemes.wasm"), "time_ms = 10000"));
        try (DaemonHarness harness = new DaemonHarness(fleet, good);
                DaemonHarness.ManualClient client = harness.connect()) {
            for (String[] config : new String[][] {
                {"wasi", "imports wasi_snapshot_preview1.fd_write"},
                {"spin-load", "used up its fuel"},
                {"nosuch", "there is no file"},
                {"abi-2", "ABI version 2"}
            }) {
                assertThatThrownBy(() ->
                                harness.load(file(fleet, hook(HOSTILE_HOOKS.resolve(config[0] + ".wasm"), ""))))
                        .isInstanceOfSatisfying(
                                ConfigException.class,
                                thrown -> assertThat(thrown.errors())
                                        .singleElement()
                                        .satisfies(line -> assertThat(line)
                                                .matches("rig:[0-9]+:1: hook h does not load: .*")
                                                .contains(config[1])));
            }
            Path huge = dir.resolve("huge.wasm");
            Files.write(huge, new byte[64 << 20]);
            assertThatThrownBy(() -> harness.load(file(fleet, hook(huge, "")))).isInstanceOf(ConfigException.class);
            String other = hook(SAMPLE_HOOKS.resolve("key-schemes.wasm"), "sha256 = \"" + "0".repeat(64) + "\"");
            assertThatThrownBy(() -> harness.load(file(fleet, other)))
                    .isInstanceOfSatisfying(
                            ConfigException.class,
                            thrown -> assertThat(thrown.errors().get(0)).contains("has the SHA-256 "));
            assertThat(client.send("mg b-7-vi v\r\n").lines(2)).containsExactly("VA 17", "value of sub/7/vi");
        }
    }

    @Test
    void replacesModulesUnderLoadWithoutLosingRequests() throws Exception {
        FakeFleet fleet = new FakeFleet(2);
        String[] files = {
            file(fleet, hook(SAMPLE_HOOKS.resolve("key-schemes.wasm"), "")),
            file(fleet, hook(HOSTILE_HOOKS.resolve("burns.wasm"), "")),
            file(fleet, ""),
            file(fleet, hook(HOSTILE_HOOKS.resolve("alternates.wasm"), ""))
        };
        try (DaemonHarness harness = new DaemonHarness(fleet, files[0])) {
            int total = 8000;
            CompletableFuture<LoadClient.LoadResult> load =
                    new LoadClient(fleet.loop(), harness.daemon.address("main"), total, HooksTest::request).start(4, 8);
            for (int i = 1; i <= 40 || !load.isDone(); i++) {
                harness.load(files[i % files.length]);
            }
            LoadClient.LoadResult account = load.get(100, TimeUnit.SECONDS);
            assertThat(account.errors).isEmpty();
            assertThat(account.answered()).isEqualTo(total);
            assertThat(fleet.ledger.repeatedEffects()).isZero();
        }
    }
}
