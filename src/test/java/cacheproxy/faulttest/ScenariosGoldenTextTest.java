package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.golden.GoldenFiles;
import cacheproxy.golden.ValueText;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Each scenario in deploy/scenarios loads to the same values, including those drawn from its seed, and is written out
 * as the same text.
 */
class ScenariosGoldenTextTest {
    private static final Path SCENARIOS = Path.of("deploy/scenarios");

    @Test
    void allFilesOfTheDirectoryAreCovered() throws Exception {
        assertThat(GoldenFiles.names(SCENARIOS, ".toml"))
                .containsExactly(
                        "duties-holder.toml",
                        "duties-large.toml",
                        "duties-moves.toml",
                        "duties-users.toml",
                        "duties.toml",
                        "large.toml",
                        "limits.toml",
                        "restarts.toml",
                        "small.toml");
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "duties-holder",
                "duties-large",
                "duties-moves",
                "duties-users",
                "duties",
                "large",
                "limits",
                "restarts",
                "small"
            })
    void scenarioLoadsToSameValuesAndIsWrittenOutTheSame(String name) throws Exception {
        Scenario scenario = ScenarioReader.read(SCENARIOS.resolve(name + ".toml"), null);
        GoldenFiles.assertSame("scenarios/" + name + ".txt", ValueText.of(scenario));
        GoldenFiles.assertSame("scenarios/" + name + ".toml", scenario.toToml());
    }
}
