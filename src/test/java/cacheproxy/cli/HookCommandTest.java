package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** {@code hook test}: what it prints and its exit codes. */
class HookCommandTest {
    private String out;
    private String err;

    private int run(String... args) {
        StringWriter o = new StringWriter();
        StringWriter e = new StringWriter();
        int code = new CommandLine(new Cli())
                .setOut(new PrintWriter(o))
                .setErr(new PrintWriter(e))
                .execute(args);
        out = o.toString();
        err = e.toString();
        return code;
    }

    @Test
    void oneCallIsRunAndTold() {
        for (String how : new String[] {"--fuel=200000", "--interpret"}) {
            assertThat(run("hook", "test", "hooks/key-schemes.wasm", "--request", "C|vi|7", how))
                    .isZero();
            assertThat(out)
                    .matches("(?s)sha256 [0-9a-f]{64}\nkey sub/7/vi\nfuel [0-9]+ of 200000, [0-9.,]+ us a call\n");
        }
        assertThat(run(
                        "hook",
                        "test",
                        "hooks/tenant-list.wasm",
                        "--request",
                        "k",
                        "--tenant",
                        "blue",
                        "--config",
                        "red\nblue"))
                .isZero();
        assertThat(out).contains("refuse 1000 ms");
        assertThat(run(
                        "hook",
                        "test",
                        "hooks/tenant-list.wasm",
                        "--request",
                        "k",
                        "--tenant",
                        "green",
                        "--config",
                        "red"))
                .isZero();
        assertThat(out).contains("no orders");
    }

    @Test
    void whatFailsIsTold() {
        assertThat(run("hook", "test", "src/test/resources/hooks/spin.wasm", "--request", "k"))
                .isEqualTo(1);
        assertThat(err).isEqualTo("the call failed: it has used up its fuel, 200000\n");
        assertThat(run("hook", "test", "src/test/resources/hooks/wasi.wasm", "--request", "k"))
                .isEqualTo(2);
        assertThat(err).contains("wasi.wasm does not load: it imports wasi_snapshot_preview1.fd_write");
        assertThat(run("hook", "test", "hooks/nosuch.wasm", "--request", "k")).isEqualTo(2);
        assertThat(run("hook", "test", "hooks/key-schemes.wasm")).isEqualTo(2);
        assertThat(run("hook")).isEqualTo(2);
    }
}
