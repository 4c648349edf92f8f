package cacheproxy.hooks;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests single modules without a daemon: which ones load, how much a call may cost, and how hostile modules fail. */
class HookInstanceTest {
    private static final Path HOSTILE_HOOKS_DIR = Path.of("src/test/resources/hooks");
    private static final Path SAMPLE_HOOKS_DIR = Path.of("hooks");
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
    void runsTheSampleHooks(boolean compiled) throws Exception {
        HookInstance keys = start(bytes(SAMPLE_HOOKS_DIR, "key-schemes"), "", compiled);
        for (String[] expectation : new String[][] {
            {"A:7/vi", "sub/7/vi"},
            {"b-7-vi", "sub/7/vi"},
            {"C|vi|7", "sub/7/vi"},
            {"C|vi", null},
            {"other", null},
            {"A:", null}
        }) {
            HookOrders orders = keys.call(new HookCall(expectation[0], "page", "red", false, false, 500))
                    .orders();
            assertThat(orders.key()).as(expectation[0]).isEqualTo(expectation[1]);
        }
        HookInstance classes = start(bytes(SAMPLE_HOOKS_DIR, "class-by-suffix"), ".vtt=page\n.post=submit\n", compiled);
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
        HookInstance tenants = start(bytes(SAMPLE_HOOKS_DIR, "tenant-list"), "blue\nred", compiled);
        assertThat(tenants.call(CALL).orders().refuseMs()).isEqualTo(1000);
        assertThat(tenants.call(new HookCall("k", "page", "re", false, false, 5))
                        .orders())
                .isEqualTo(HookOrders.NONE);
    }

    @Test
    void builtModulesMatchTheirSources() throws Exception {
        int modules = 0;
        for (Path dir : List.of(SAMPLE_HOOKS_DIR, HOSTILE_HOOKS_DIR)) {
            try (Stream<Path> files = Files.list(dir)) {
                for (Path source :
                        files.filter(file -> file.toString().endsWith(".wat")).toList()) {
                    byte[] module = Files.readAllBytes(Path.of(source.toString().replace(".wat", ".wasm")));
                    byte[] digest = MessageDigest.getInstance("SHA-256").digest(Files.readAllBytes(source));
                    assertThat(Arrays.copyOfRange(module, module.length - 32, module.length))
                            .as(source + ": run hooks/build.mjs")
                            .isEqualTo(digest);
                    modules++;
                }
            }
        }
        assertThat(modules).isGreaterThan(40);
    }

    @Test
    void takesSameFuelCompiledAndInterpreted() throws Exception {
        for (String name : List.of("key-schemes", "tenant-list", "class-by-suffix")) {
            HookInstance compiled = start(bytes(SAMPLE_HOOKS_DIR, name), ".vtt=page\nred", true);
            HookInstance interpreted = start(bytes(SAMPLE_HOOKS_DIR, name), ".vtt=page\nred", false);
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
    void reportsWhyHostileCallFails(String name, String expectedMessages) throws Exception {
        for (boolean compiled : new boolean[] {true, false}) {
            HookInstance hook = start(bytes(HOSTILE_HOOKS_DIR, name), "x", compiled);
            assertThatThrownBy(() -> hook.call(CALL))
                    .as(name)
                    .isInstanceOf(HookException.class)
                    .satisfies(thrown -> assertThat(expectedMessages.split(";"))
                            .anyMatch(expected -> thrown.getMessage().contains(expected.trim())));
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
    void reportsWhyHostileModuleDoesNotLoad(String name, String expectedMessage) throws Exception {
        for (boolean compiled : new boolean[] {true, false}) {
            byte[] module = bytes(HOSTILE_HOOKS_DIR, name);
            assertThatThrownBy(() -> start(module, "", compiled))
                    .as(name)
                    .isInstanceOf(HookException.class)
                    .hasMessageContaining(expectedMessage);
        }
    }

    @Test
    void rejectsTruncatedForeignAndOversizedModulesAndSurvivesMutatedOnes() throws Exception {
        byte[] module = bytes(SAMPLE_HOOKS_DIR, "key-schemes");
        for (int length = 0; length < module.length - 50; length++) {
            byte[] truncated = Arrays.copyOf(module, length);
            boolean compiled = length % 2 == 0;
            assertThatThrownBy(() -> start(truncated, "", compiled))
                    .as("cut at " + length)
                    .isInstanceOf(HookException.class);
        }
        assertThatThrownBy(() -> start("#!/bin/sh\n".getBytes(StandardCharsets.US_ASCII), "", true))
                .hasMessageContaining("no WebAssembly module");
        assertThatThrownBy(() -> start(new byte[64 << 20], "", true)).hasMessageContaining("at most");
        SplittableRandom random = new SplittableRandom(5);
        for (int i = 0; i < 3000; i++) {
            byte[] mutated = module.clone();
            mutated[8 + random.nextInt(mutated.length - 60)] = (byte) random.nextInt();
            try {
                start(mutated, "", i % 4 == 0).call(CALL);
            } catch (HookException e) {
                assertThat(e.getMessage()).doesNotContain("\n");
            }
        }
    }

    /**
     * Covers calls that take too long without running out of fuel: a call with unlimited fuel is ended by interrupting
     * its thread.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void interruptsCallThatTakesTooLong(boolean compiled) throws Exception {
        HookModule module = HookModule.load(
                bytes(HOSTILE_HOOKS_DIR, "spin"),
                new HookModule.Limits(16, Long.MAX_VALUE, 1_000_000, 20, compiled),
                "");
        HookInstance hook = new HookInstance(module, () -> 42);
        CountDownLatch running = new CountDownLatch(1);
        AtomicReference<String> message = new AtomicReference<>();
        Thread caller = new Thread(() -> {
            running.countDown();
            try {
                hook.call(CALL);
            } catch (HookException e) {
                message.set(e.getMessage());
            }
        });
        caller.setDaemon(true);
        caller.start();
        running.await();
        while (caller.isAlive()) {
            caller.interrupt(); // repeated because the call may not have begun yet
            caller.join(10);
        }
        assertThat(message.get()).isEqualTo("it took longer than 20.0 ms");
    }

    /**
     * The global that holds the fuel is added after the module's own globals; the module must not be able to refer to
     * it.
     */
    @Test
    void rejectsModuleThatNamesTheFuelGlobal() throws Exception {
        byte[] module = bytes(HOSTILE_HOOKS_DIR, "steals-fuel");
        int globalSet = -1;
        for (int i = 8; i < module.length - 1; i++) {
            globalSet = module[i] == 0x24 && module[i + 1] == 0 ? i : globalSet;
        }
        assertThat(globalSet).as("position of its global.set 0").isPositive();
        for (int opcode : new int[] {0x24, 0x23}) {
            byte[] mutated = module.clone();
            mutated[globalSet] = (byte) opcode;
            mutated[globalSet + 1] = 1;
            assertThatThrownBy(() -> start(mutated, "", true)).hasMessageContaining("there is no global 1");
        }
    }

    @Test
    void notifiesModuleOfAnswers() throws Exception {
        HookInstance answers = start(bytes(HOSTILE_HOOKS_DIR, "answers"), "", true);
        assertThat(answers.wantsAnswers()).isTrue();
        assertThat(answers.notifyAnswer(CALL, HookCall.Answer.SERVED, 7)).containsExactly("served");
        assertThat(answers.notifyAnswer(CALL, HookCall.Answer.REFUSED, 7)).containsExactly("refuse");
        assertThat(start(bytes(HOSTILE_HOOKS_DIR, "idle"), "", true).wantsAnswers())
                .isFalse();
        assertThat(new HookCall("", "", "", false, false, 0).encode(HookCall.Answer.FAILED, 258))
                .containsExactly(1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 3, 2, 1, 0, 0);
    }

    @Test
    void boundsMemoryAndLogLines() throws Exception {
        HookInstance.Result result =
                start(bytes(HOSTILE_HOOKS_DIR, "grow-touch"), "", true).call(CALL);
        assertThat(result.orders()).isEqualTo(HookOrders.NONE);
        assertThat(result.fuel())
                .as("growing costs 4096, and filling 65,536 bytes costs as much")
                .isBetween(8192L, 8300L);
        assertThat(start(bytes(HOSTILE_HOOKS_DIR, "grow"), "", true).call(CALL).orders())
                .isEqualTo(HookOrders.NONE);
        HookInstance logs = start(bytes(HOSTILE_HOOKS_DIR, "logs"), "", true);
        assertThatThrownBy(() -> logs.call(CALL)).isInstanceOf(HookException.class);
        assertThat(logs.lastLogLines()).hasSize(HookHost.MAX_LOG_LINES).allMatch(line -> line.length() <= 200);
    }

    @Test
    void offersImportsAndEncodesCallsAsTheAbiSays() throws Exception {
        assertThat(HookAbi.OFFERED_IMPORTS)
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
        assertThat(new HookCall("ab", "c", "t", true, true, 258).encode())
                .containsExactly(1, 3, 2, 1, 0, 0, 2, 0, 'a', 'b', 1, 0, 'c', 1, 0, 't');
    }

    /** Guards against a module that ends within a group of locals and stops the startup instead of being reported. */
    @Test
    void aModuleThatEndsWithinItsLocalsIsReported() {
        byte[] module = HexFormat.of()
                .parseHex(
                        "0061736d01000000" // preamble
                                + "0104016000" + "00" // a type without parameters and results
                                + "03020100" // a function of this type
                                + "070801046d61696e0000" // exported
                                + "0a04010201" + "01"); // its body: one group of one local, and no type
        assertThatThrownBy(() -> HookModule.load(module, limits(false), ""))
                .isInstanceOf(HookException.class)
                .hasMessageContaining("ends too early");
    }
}
