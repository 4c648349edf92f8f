package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Report 33545e with real processes: servers that restart in groups while others are silent and clients retry. */
@Timeout(240)
class RollingRestartIT {
    @TempDir
    private Path folder;

    @ParameterizedTest
    @ValueSource(strings = {"serve", "run"})
    void overloadsNoServerThatRestartsUnderItsId(String program) throws Exception {
        String scenario = Files.readString(Path.of("deploy/scenarios/restarts.toml"))
                .replace("program = \"serve\"", "program = \"" + program + "\"");
        FaultTestRunner.Outcome outcome = FaultTestRuns.playAndAssertInvariants(scenario, folder);
        assertThat(outcome.run().events().stream()
                        .filter(event -> event.type().equals(Event.SERVER_STARTED))
                        .count())
                .isEqualTo(24);
        assertThat(outcome.verdict().violationsByChecker().get("cold-sum").judged())
                .as("commands at servers that were warming up")
                .isGreaterThan(1000);
    }
}
