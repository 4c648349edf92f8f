package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code explain} and {@code check}: options, their defaults, and exit codes. */
class ExplainCommandTest {
    @SuppressWarnings("StringConcatToTextBlock") // each line of the text is on its own line of the source
    private static final String CONFIG = "[[class]]\nname = \"read\"\neffect = \"safe\"\n"
            + "[[class]]\nname = \"write\"\neffect = \"unsafe\"\n"
            + "[[listen]]\nname = \"one\"\naddress = \"127.0.0.1:0\"\nopen = true\nclass = \"read\"\n"
            + "write_class = \"write\"\n"
            + "[[listen]]\nname = \"two\"\naddress = \"127.0.0.1:0\"\nopen = true\nclass = \"read\"\n"
            + "[[pool]]\nname = \"a\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"s\"\ndial = \"127.0.0.1:1\"\n"
            + "[[pool]]\nname = \"b\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"t\"\ndial = \"127.0.0.1:2\"\n"
            + "[[route]]\nname = \"writes\"\nclass = \"write\"\npools = [\"b\"]\norder = -1\n"
            + "[[route]]\nname = \"second\"\nlistener = \"two\"\npools = [\"b\"]\norder = -1\n"
            + "[[route]]\nname = \"all\"\npools = [\"a\"]\n";

    @TempDir
    private Path dir;

    private String file;

    @BeforeEach
    void writeConfig() throws Exception {
        Path path = dir.resolve("daemon.toml");
        Files.writeString(path, CONFIG);
        file = path.toString();
    }

    @Test
    void choosesRouteByListenerClassAndEffect() {
        assertThat(CommandResult.run("explain", file, "k").out()).startsWith("k route=all pool=a server=s");
        assertThat(CommandResult.run("explain", file, "k", "--write").out()).startsWith("k route=writes pool=b");
        assertThat(CommandResult.run("explain", file, "k", "--class", "write").out())
                .startsWith("k route=writes pool=b");
        assertThat(CommandResult.run("explain", file, "k", "--listener", "two").out())
                .startsWith("k route=second pool=b");
        CommandResult several = CommandResult.run("explain", file, "k", "l");
        assertThat(several.exitCode()).isZero();
        assertThat(several.out().lines()).hasSize(2);
    }

    @Test
    void reportsUnknownNames() {
        CommandResult listener = CommandResult.run("explain", file, "k", "--listener", "three");
        assertThat(listener.exitCode()).isEqualTo(2);
        assertThat(listener.err()).isEqualTo("there is no listener 'three' in " + file + "\n");
        CommandResult serviceClass = CommandResult.run("explain", file, "k", "--class", "none");
        assertThat(serviceClass.exitCode()).isEqualTo(2);
        assertThat(serviceClass.err()).isEqualTo("there is no class 'none' in " + file + "\n");
        assertThat(CommandResult.run("explain", file).exitCode()).isEqualTo(2);
    }

    @Test
    void checkPrintsSummaryOrErrors() throws Exception {
        CommandResult valid = CommandResult.run("check", file);
        assertThat(valid.exitCode()).isZero();
        assertThat(valid.out()).isEqualTo(file + ": good; 2 listeners, 2 pools, 3 routes\n");
        Path broken = dir.resolve("broken.toml");
        Files.writeString(broken, CONFIG.replace("\"a\"]", "\"c\"]"));
        for (String command : new String[] {"check", "run"}) {
            CommandResult invalid = CommandResult.run(command, broken.toString());
            assertThat(invalid.exitCode()).as(command).isEqualTo(2);
            assertThat(invalid.err()).startsWith(broken + ":").contains("there is no pool 'c'");
        }
    }
}
