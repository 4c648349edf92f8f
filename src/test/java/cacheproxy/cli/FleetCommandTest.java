package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Checker;
import org.junit.jupiter.api.Test;

/** {@code fleet} and {@code demo}: their options and errors, without starting processes. */
class FleetCommandTest {
    private static final String SCENARIO = "src/test/resources/golden/scenarios/small.toml";

    @Test
    void printsPlanThatDependsOnTheSeed() {
        CommandResult first = CommandResult.run("fleet", "plan", SCENARIO, "--seed", "5");
        assertThat(first.exitCode()).isZero();
        assertThat(first.err()).isEmpty();
        assertThat(first.out()).contains("[[fault]]");
        assertThat(CommandResult.run("fleet", "plan", SCENARIO, "--seed", "5").out())
                .isEqualTo(first.out());
        assertThat(CommandResult.run("fleet", "plan", SCENARIO, "--seed", "6").out())
                .isNotEqualTo(first.out());
    }

    @Test
    void reportsMissingFilesAndSubcommands() {
        for (String command : new String[] {"play", "check", "plan", "shrink"}) {
            CommandResult missing = CommandResult.run("fleet", command, "/nosuch/file");
            assertThat(missing.exitCode()).as(command).isEqualTo(2);
            assertThat(missing.err()).contains("/nosuch/file");
            assertThat(CommandResult.run("fleet", command).exitCode()).isEqualTo(2);
        }
        assertThat(CommandResult.run("fleet").err()).startsWith("name one of play, check, shrink, plan\n");
    }

    @Test
    void shrinkRejectsUnknownInvariantsAndCountsBelowOne() {
        CommandResult unknown = CommandResult.run("fleet", "shrink", SCENARIO, "--invariant", "none");
        assertThat(unknown.exitCode()).isEqualTo(2);
        assertThat(unknown.err()).startsWith("there is no invariant 'none'; there are: ");
        Checker.all().forEach(checker -> assertThat(unknown.err()).contains(checker.name()));
        for (String option : new String[] {"--tries", "--runs"}) {
            CommandResult count = CommandResult.run("fleet", "shrink", SCENARIO, option, "0");
            assertThat(count.exitCode()).isEqualTo(2);
            assertThat(count.err()).isEqualTo("--tries and --runs must be at least 1\n");
        }
    }

    @Test
    void demoRejectsRequestCountsOutOfRange() {
        for (String count : new String[] {"-1", "10000001"}) {
            CommandResult result = CommandResult.run("demo", "--requests", count);
            assertThat(result.exitCode()).isEqualTo(2);
            assertThat(result.err()).isEqualTo("--requests takes 1 to 10000000\n");
        }
    }
}
