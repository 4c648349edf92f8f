package cacheproxy.golden;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/**
 * Compares texts with the expected ones under {@code src/test/resources/golden}. The actual text is written to
 * {@code target/golden}.
 */
public final class GoldenFiles {
    private static final Path EXPECTED = Path.of("src/test/resources/golden");
    private static final Path ACTUAL = Path.of("target/golden");

    private GoldenFiles() {}

    /** Fails if the text differs from the golden file of this name. */
    public static void assertSame(String name, String actual) throws IOException {
        Path written = ACTUAL.resolve(name);
        Files.createDirectories(written.getParent());
        Files.writeString(written, actual);
        Path expected = EXPECTED.resolve(name);
        assertThat(expected)
                .as("%s; the actual text is in %s", expected, written)
                .exists();
        assertThat(actual).as("%s; the actual text is in %s", expected, written).isEqualTo(Files.readString(expected));
    }

    /** Returns the sorted names of the files of a directory that end with {@code suffix}. */
    public static List<String> names(Path directory, String suffix) throws IOException {
        try (Stream<Path> files = Files.list(directory)) {
            return files.map(file -> file.getFileName().toString())
                    .filter(name -> name.endsWith(suffix))
                    .sorted()
                    .toList();
        }
    }
}
