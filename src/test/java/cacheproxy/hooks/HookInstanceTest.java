package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Modules one by one, without a daemon: what loads, what a call may cost, what comes of hostile ones. */
class HookInstanceTest {
    private static final Path HOSTILE = Path.of("src/test/resources/hooks");
    private static final Path KIT = Path.of("hooks");
    private static final HookCall CALL = new HookCall("A:7/vi", "page", "red", false, false, 500);

    private static HookModule.Limits limits(boolean compiled) {
        return new HookModule.Limits(16, 200_000, 1_000_000, 1000, compiled);
    }

    private static byte[] bytes(Path dir, String name) throws Exception {
        return Files.readAllBytes(dir.resolve(name + ".wasm"));
    }

    private static HookInstance start(byte[] module, String config, boolean compiled) throws HookException {
        return new HookInstance(HookModule.load(module, limits(compiled), config), () -> 42);
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theKitDoesWhatItSays(boolean compiled) throws Exception {
        HookInstance keys = start(bytes(KIT, "key-schemes"), "", compiled);
        for (String[] c : new String[][] {
            {"A:7/vi", "sub/7/vi"},
            {"b-7-vi", "sub/7/vi"},
            {"C|vi|7", "sub/7/vi"},
            {"C|vi", null},
            {"other", null},
            {"A:", null}
        }) {
            HookOrders o = keys.call(new HookCall(c[0], "page", "red", false, false, 500))
                    .orders();
            assertThat(o.key()).as(c[0]).isEqualTo(c[1]);
        }
        HookInstance classes = start(bytes(KIT, "class-by-suffix"), ".vtt=page\n.post=submit\n", compiled);
        assertThat(classes.call(new HookCall("x.post", "page", "", true, false, 1))
                        .orders()
                        .serviceClass())
                .isEqualTo("submit");
        assertThat(classes.call(new HookCall("x.vtt", "page", "", true, false, 1))
                        .orders()
                        .serviceClass())
                .isEqualTo("page");
        assertThat(classes.call(new HookCall("vtt", "page", "", true, false, 1)).orders())
                .isEqualTo(HookOrders.NONE);
        HookInstance tenants = start(bytes(KIT, "tenant-list"), "blue\nred", compiled);
        assertThat(tenants.call(CALL).orders().refuseMs()).isEqualTo(1000);
        assertThat(tenants.call(new HookCall("k", "page", "re", false, false, 5))
                        .orders())
                .isEqualTo(HookOrders.NONE);
    }

    @Test
    void builtModulesBelongToTheirSources() throws Exception {
        int seen = 0;
        for (Path dir : List.of(KIT, HOSTILE)) {
            try (Stream<Path> files = Files.list(dir)) {
                for (Path wat : files.filter(f -> f.toString().endsWith(".wat")).toList()) {
                    byte[] module = Files.readAllBytes(Path.of(wat.toString().replace(".wat", ".wasm")));
                    byte[] digest = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(wat));
                    assertThat(Arrays.copyOfRange(module, module.length - 32, module.length))
                            .as(wat + ": run hooks/build.mjs")
                            .isEqualTo(digest);
                    seen++;
                }
            }
        }
        assertThat(seen).isGreaterThan(40);
    }

    @Test
    void fuelIsTheSameHoweverAModuleIsRun() throws Exception {
        for (String name : List.of("key-schemes", "tenant-list", "class-by-suffix")) {
            HookInstance compiled = start(bytes(KIT, name), ".vtt=page\nred", true);
            HookInstance interpreted = start(bytes(KIT, name), ".vtt=page\nred", false);
            for (String key : List.of("A:7/vi", "b-123456-vi", "x.vtt", "")) {
                HookCall call = new HookCall(key, "page", "red", true, false, 9);
                long fuel = compiled.call(call).fuel();
                assertThat(fuel).isEqualTo(interpreted.call(call).fuel()).isBetween(10L, 5000L);
            }
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "spin | used up its fuel",
                "recurse | too deep;used up its fuel",
                "trap | trapped",
                "divide | trapped",
                "pointer | out of its memory;trapped",
                "negative | bytes; at most",
                "long | bytes; at most",
                "alloc-far | out of its memory;trapped",
                "utf8 | no UTF-8",
                "twice | comes twice",
                "unknown-order | not known",
                "cut | ends too early",
                "logs | used up its fuel",
                "log-far | trapped;out of its memory",
                "config-far | trapped;out of its memory",
                "steals-fuel | used up its fuel",
                "copies | used up its fuel"
            })
    void hostileCallsFail(String name, String why) throws Exception {
        for (boolean compiled : new boolean[] {true, false}) {
            HookInstance hook = start(bytes(HOSTILE, name), "x", compiled);
            assertThatThrownBy(() -> hook.call(CALL))
                    .as(name)
                    .isInstanceOf(HookException.class)
                    .satisfies(e -> assertThat(why.split(";"))
                            .anyMatch(w -> e.getMessage().contains(w.trim())));
        }
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "spin-load | fuel",
                "start-spin | can't be started",
                "wasi | imports wasi_snapshot_preview1.fd_write",
                "wrong-import | imports coralbay.log (i64)->()",
                "abi-2 | ABI version 2",
                "wrong-type | on_request is (i32)->(i64)",
                "much-memory | 2000 pages",
                "big-table | 10000000 elements",
                "no-load | on_load returned 7",
                "no-memory | memory"
            })
    void hostileModulesDoNotLoad(String name, String why) throws Exception {
        for (boolean compiled : new boolean[] {true, false}) {
            byte[] module = bytes(HOSTILE, name);
            assertThatThrownBy(() -> start(module, "", compiled))
                    .as(name)
                    .isInstanceOf(HookException.class)
                    .hasMessageContaining(why);
        }
    }

    @Test
    void whatIsNoModuleDoesNotLoad() throws Exception {
        byte[] whole = bytes(KIT, "key-schemes");
        for (int n = 0; n < whole.length - 50; n++) {
            byte[] cut = Arrays.copyOf(whole, n);
            boolean compiled = n % 2 == 0;
            assertThatThrownBy(() -> start(cut, "", compiled)).as("cut at " + n).isInstanceOf(HookException.class);
        }
        assertThatThrownBy(() -> start("#!/bin/sh\n".getBytes(StandardCharsets.US_ASCII), "", true))
                .hasMessageContaining("no WebAssembly module");
        assertThatThrownBy(() -> start(new byte[64 << 20], "", true)).hasMessageContaining("at most");
        java.util.SplittableRandom random = new java.util.SplittableRandom(5);
        for (int i = 0; i < 3000; i++) {
            byte[] bent = whole.clone();
            bent[8 + random.nextInt(bent.length - 60)] = (byte) random.nextInt();
            try {
                start(bent, "", i % 4 == 0).call(CALL);
            } catch (HookException e) {
                assertThat(e.getMessage()).doesNotContain("\n");
            }
        }
    }

    /** For what fuel does not see: a call with fuel without end is ended by the interrupt of its thread. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCallThatTakesTooLongIsInterrupted(boolean compiled) throws Exception {
        HookModule module = HookModule.load(
                bytes(HOSTILE, "spin"), new HookModule.Limits(16, Long.MAX_VALUE, 1_000_000, 20, compiled), "");
        HookInstance hook = new HookInstance(module, () -> 42);
        CountDownLatch running = new CountDownLatch(1);
        AtomicReference<String> why = new AtomicReference<>();
        Thread t = new Thread(() -> {
            running.countDown();
            try {
                hook.call(CALL);
            } catch (HookException e) {
                why.set(e.getMessage());
            }
        });
        t.setDaemon(true);
        t.start();
        running.await();
        while (t.isAlive()) {
            t.interrupt(); // the call may not have begun
            t.join(10);
        }
        assertThat(why.get()).isEqualTo("it took longer than 20.0 ms");
    }

    /** The global that counts is added behind the module's own: it must not be able to name it. */
    @Test
    void noModuleReachesTheCounter() throws Exception {
        byte[] module = bytes(HOSTILE, "steals-fuel");
        int set = -1;
        for (int i = 8; i < module.length - 1; i++) {
            set = module[i] == 0x24 && module[i + 1] == 0 ? i : set;
        }
        assertThat(set).as("its global.set 0").isPositive();
        for (int op : new int[] {0x24, 0x23}) {
            byte[] bent = module.clone();
            bent[set] = (byte) op;
            bent[set + 1] = 1;
            assertThatThrownBy(() -> start(bent, "", true)).hasMessageContaining("there is no global 1");
        }
    }

    @Test
    void answersAreTold() throws Exception {
        HookInstance answers = start(bytes(HOSTILE, "answers"), "", true);
        assertThat(answers.wantsAnswers()).isTrue();
        assertThat(answers.answered(CALL, HookCall.Answer.SERVED, 7)).containsExactly("served");
        assertThat(answers.answered(CALL, HookCall.Answer.REFUSED, 7)).containsExactly("refuse");
        assertThat(start(bytes(HOSTILE, "idle"), "", true).wantsAnswers()).isFalse();
        assertThat(new HookCall("", "", "", false, false, 0).bytes(HookCall.Answer.FAILED, 258))
                .containsExactly(1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3, 2, 1, 0, 0);
    }

    @Test
    void growingEndsAtTheBoundAndLogLinesAreBounded() throws Exception {
        HookInstance.Result touch =
                start(bytes(HOSTILE, "grow-touch"), "", true).call(CALL);
        assertThat(touch.orders()).isEqualTo(HookOrders.NONE);
        assertThat(touch.fuel())
                .as("growing costs 4096, filling 65,536 bytes as much")
                .isBetween(8192L, 8300L);
        assertThat(start(bytes(HOSTILE, "grow"), "", true).call(CALL).orders()).isEqualTo(HookOrders.NONE);
        HookInstance logs = start(bytes(HOSTILE, "logs"), "", true);
        assertThatThrownBy(() -> logs.call(CALL)).isInstanceOf(HookException.class);
        assertThat(logs.lastLog()).hasSize(HookInstance.MAX_LOG_LINES).allMatch(l -> l.length() <= 200);
    }

    @Test
    void importsAndOrdersAreWhatTheAbiSays() throws Exception {
        assertThat(HookModule.OFFERED)
                .isEqualTo(Map.of(
                        "coralbay.log",
                        "(i32,i32)->()",
                        "coralbay.now_ms",
                        "()->(i64)",
                        "coralbay.count",
                        "()->(i64)",
                        "coralbay.config_length",
                        "()->(i32)",
                        "coralbay.config_read",
                        "(i32)->()"));
        assertThat(new HookCall("ab", "c", "t", true, true, 258).bytes())
                .containsExactly(1, 3, 2, 1, 0, 0, 2, 0, 'a', 'b', 1, 0, 'c', 1, 0, 't');
    }
}
