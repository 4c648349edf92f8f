package cacheproxy.config;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.golden.GoldenFiles;
import cacheproxy.golden.ValueText;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Each configuration file of the daemon in {@code deploy} loads to the values of its golden text. */
class DeployFilesGoldenTextTest {
    private static final Path DEPLOY = Path.of("deploy");

    @Test
    void allFilesOfTheDirectoryAreCovered() throws Exception {
        assertThat(GoldenFiles.names(DEPLOY, ".toml"))
                .containsExactly(
                        "balancer.toml",
                        "coralbay.toml",
                        "duties.toml",
                        "hooks.toml",
                        "limits.toml",
                        "memory.toml",
                        "siblings.toml");
    }

    @ParameterizedTest
    @ValueSource(strings = {"coralbay", "duties", "hooks", "limits", "siblings"})
    void aWholeFileLoadsToTheSameValues(String name) throws Exception {
        DaemonConfig file = DaemonConfigReader.read(DEPLOY.resolve(name + ".toml"));
        GoldenFiles.assertSame("deploy/" + name + ".txt", ValueText.of(file));
    }

    @Test
    void theMemorySectionLoadsToTheSameValuesAfterAnotherFile() throws Exception {
        String text =
                Files.readString(DEPLOY.resolve("coralbay.toml")) + Files.readString(DEPLOY.resolve("memory.toml"));
        DaemonConfig file = DaemonConfigReader.parse("deploy/coralbay-memory.toml", text);
        GoldenFiles.assertSame("deploy/memory.txt", ValueText.of(file.section(SnapshotConfig.class)));
    }
}
