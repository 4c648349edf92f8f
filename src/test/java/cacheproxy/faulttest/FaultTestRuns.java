package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Checker;
import java.nio.file.Path;

/**
 * Runs scenarios in tests, repeats a run if the machine was too slow for a verdict, and asserts that all invariants
 * hold.
 */
final class FaultTestRuns {
    private static final int MAX_ATTEMPTS = 3;

    private FaultTestRuns() {}

    /** Plays a scenario, asserts that it violates no invariant, and returns the outcome. */
    static FaultTestRunner.Outcome playAndAssertInvariants(String scenario, Path folder) throws Exception {
        FaultTestRunner.Outcome outcome = play(scenario, folder.resolve("run0"));
        for (int i = 1; i < MAX_ATTEMPTS && !outcome.verdict().invalidReasons().isEmpty(); i++) {
            outcome = play(scenario, folder.resolve("run" + i));
        }
        assertThat(outcome.verdict().passed())
                .as(String.join("\n", outcome.lines()))
                .isTrue();
        return outcome;
    }

    private static FaultTestRunner.Outcome play(String scenario, Path folder) throws Exception {
        return FaultTestRunner.play(ScenarioReader.parse("test", scenario, null), folder, Checker.all(), line -> {});
    }

    /** A fault's table in a scenario, with additional lines. */
    static String fault(String kind, int atMs, int durationMs, String targets, String additionalLines) {
        return "[[fault]]\nkind = \"" + kind + "\"\nat_ms = " + atMs + "\nfor_ms = " + durationMs + "\nwho = \""
                + targets + "\"\n" + additionalLines + "\n";
    }
}
