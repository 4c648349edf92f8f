package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Checker;
import java.nio.file.Path;

/**
 * Plays of a scenario in tests: again where the machine was too slow to say anything, and all invariants are to hold.
 */
final class FaultTestRuns {
    private static final int TRIES = 3;

    private FaultTestRuns() {}

    static FaultTestRunner.Outcome held(String scenario, Path folder) throws Exception {
        FaultTestRunner.Outcome o = null;
        for (int i = 0; i < TRIES && (o == null || !o.verdict().invalidReasons().isEmpty()); i++) {
            o = FaultTestRunner.play(
                    ScenarioReader.parse("test", scenario, null), folder.resolve("run" + i), Checker.all(), line -> {});
        }
        assertThat(o.verdict().passed()).as(String.join("\n", o.lines())).isTrue();
        return o;
    }

    /** A scenario's fault. */
    static String fault(String kind, int at, int lasts, String who, String more) {
        return "[[fault]]\nkind = \"" + kind + "\"\nat_ms = " + at + "\nfor_ms = " + lasts + "\nwho = \"" + who + "\"\n"
                + more + "\n";
    }
}
