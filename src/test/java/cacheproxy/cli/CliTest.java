package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import picocli.CommandLine;

/** The root command: names that operators' scripts use, and errors in a command line. */
class CliTest {
    @Test
    void commandNamesAreThoseOfOperatorsScripts() {
        CommandLine root = new CommandLine(new Cli());
        assertThat(root.getSubcommands().keySet())
                .containsExactlyElementsOf(List.of(
                        "run",
                        "check",
                        "explain",
                        "demo",
                        "import-nginx",
                        "hook",
                        "memory",
                        "bench",
                        "fleet",
                        "duties",
                        "limits"));
        assertThat(root.getSubcommands().get("fleet").getSubcommands().keySet())
                .containsExactly("play", "check", "shrink", "plan");
        assertThat(root.getSubcommands().get("memory").getSubcommands().keySet())
                .containsExactly("show", "verify");
        assertThat(root.getSubcommands().get("duties").getSubcommands().keySet())
                .containsExactly("transfer");
        assertThat(root.getSubcommands().get("hook").getSubcommands().keySet()).containsExactly("test");
    }

    @Test
    void everyCommandPrintsItsUsage() {
        new CommandLine(new Cli()).getSubcommands().keySet().forEach(command -> {
            CommandResult help = CommandResult.run(command, "--help");
            assertThat(help.exitCode()).as(command).isZero();
            assertThat(help.out()).startsWith("Usage: coralbay " + command + " ");
        });
    }

    @Test
    void reportsInvalidCommandLines() {
        CommandResult bare = CommandResult.run();
        assertThat(bare.exitCode()).isEqualTo(2);
        assertThat(bare.err()).startsWith("name a command\n");
        assertThat(CommandResult.run("nosuch").exitCode()).isEqualTo(2);
        assertThat(CommandResult.run("check", "--nosuch").exitCode()).isEqualTo(2);
    }
}
