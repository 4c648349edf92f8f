package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** {@code hook test}: what it prints and its exit codes. */
class HookCommandTest {
    private static CommandResult test(String module, String... options) {
        String[] args = new String[options.length + 3];
        args[0] = "hook";
        args[1] = "test";
        args[2] = module;
        System.arraycopy(options, 0, args, 3, options.length);
        return CommandResult.run(args);
    }

    @Test
    void printsOrdersFuelAndTimeOfOneCall() {
        for (String mode : new String[] {"--fuel=200000", "--interpret"}) {
            CommandResult mapped = test("hooks/key-schemes.wasm", "--request", "C|vi|7", mode);
            assertThat(mapped.exitCode()).isZero();
            assertThat(mapped.out())
                    .matches("(?s)sha256 [0-9a-f]{64}\nkey sub/7/vi\nfuel [0-9]+ of 200000, [0-9.,]+ us a call\n");
        }
        CommandResult refused =
                test("hooks/tenant-list.wasm", "--request", "k", "--tenant", "blue", "--config", "red\nblue");
        assertThat(refused.exitCode()).isZero();
        assertThat(refused.out()).contains("refuse 1000 ms");
        CommandResult admitted =
                test("hooks/tenant-list.wasm", "--request", "k", "--tenant", "green", "--config", "red");
        assertThat(admitted.exitCode()).isZero();
        assertThat(admitted.out()).contains("no orders");
    }

    @Test
    void reportsFailedCallsModulesAndOptions() {
        CommandResult endless = test("src/test/resources/hooks/spin.wasm", "--request", "k");
        assertThat(endless.exitCode()).isEqualTo(1);
        assertThat(endless.err()).isEqualTo("the call failed: it has used up its fuel, 200000\n");
        CommandResult foreignImport = test("src/test/resources/hooks/wasi.wasm", "--request", "k");
        assertThat(foreignImport.exitCode()).isEqualTo(2);
        assertThat(foreignImport.err()).contains("wasi.wasm does not load: it imports wasi_snapshot_preview1.fd_write");
        assertThat(test("hooks/nosuch.wasm", "--request", "k").exitCode()).isEqualTo(2);
        assertThat(test("hooks/key-schemes.wasm").exitCode()).isEqualTo(2);
        assertThat(CommandResult.run("hook").exitCode()).isEqualTo(2);
    }
}
