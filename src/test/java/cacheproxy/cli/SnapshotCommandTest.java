package cacheproxy.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** {@code memory}: what it prints of complete, damaged and newer snapshot files, and its exit codes. */
class SnapshotCommandTest {
    private static final Path COMPLETE = Path.of("src/test/resources/memory/servers-v2.mem");
    private static final Path NEWER = Path.of("src/test/resources/memory/newer-section.mem");

    @TempDir
    private Path dir;

    @Test
    void acceptsCompleteFile() {
        CommandResult verified = CommandResult.run("memory", "verify", COMPLETE.toString());
        assertThat(verified.exitCode()).isZero();
        assertThat(verified.err()).isEmpty();
        assertThat(verified.out()).isEqualTo(COMPLETE + ": whole, generation 9, written 2001-09-09T01:46:40Z\n");
        CommandResult shown = CommandResult.run("memory", "show", COMPLETE.toString());
        assertThat(shown.exitCode()).isZero();
        assertThat(shown.out())
                .startsWith("site site, proxy 2, generation 9, written 2001-09-09T01:46:40Z, ")
                .contains("  server ");
    }

    @Test
    void reportsSectionsOfNewerVersions() {
        for (String command : new String[] {"verify", "show"}) {
            CommandResult result = CommandResult.run("memory", command, NEWER.toString());
            assertThat(result.exitCode()).as(command).isEqualTo(1);
            assertThat(result.err()).startsWith(NEWER + ": skipped, ");
        }
    }

    @Test
    void rejectsDamagedAndMissingFiles() throws Exception {
        byte[] bytes = Files.readAllBytes(COMPLETE);
        Path damaged = dir.resolve("damaged");
        Files.write(damaged, Arrays.copyOf(bytes, 5));
        Path missing = dir.resolve("missing");
        for (String command : new String[] {"verify", "show"}) {
            CommandResult unusable = CommandResult.run("memory", command, damaged.toString());
            assertThat(unusable.exitCode()).as(command).isEqualTo(2);
            assertThat(unusable.out()).isEmpty();
            assertThat(unusable.err()).startsWith(damaged + ": ");
            CommandResult absent = CommandResult.run("memory", command, missing.toString());
            assertThat(absent.exitCode()).isEqualTo(2);
            assertThat(absent.err()).isEqualTo(missing + ": there is no such file\n");
        }
        CommandResult bare = CommandResult.run("memory");
        assertThat(bare.exitCode()).isEqualTo(2);
        assertThat(bare.err()).startsWith("name show or verify\n");
    }
}
