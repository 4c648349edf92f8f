package cacheproxy.ci;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** Ensures that the list of files that do not pass Checkstyle does not grow. */
class CheckstyleSuppressionsTest {
    private static final Path LIST = Path.of("config/checkstyle-suppressions.xml");
    private static final Pattern ENTRY = Pattern.compile("<suppress files=\"([^\"]+)\" checks=\"([^\"]+)\"/>");

    /** Number of suppressed pairs of file and rule; lower it whenever a pair is removed. */
    private static final int MAX_EXCEPTED_CHECKS = 92;

    @Test
    void exceptsNoMoreThanBefore() throws IOException {
        int exceptedChecks = 0;
        for (Entry entry : entries()) {
            exceptedChecks += entry.checks().size();
        }
        assertThat(exceptedChecks).isLessThanOrEqualTo(MAX_EXCEPTED_CHECKS);
    }

    @Test
    void namesOneExistingFileInEachEntryButTheFirst() throws IOException {
        List<Entry> entries = entries();
        assertThat(entries.get(0)).isEqualTo(new Entry("src/test/java/", List.of("MissingJavadocMethod")));
        assertThat(entries.subList(1, entries.size()))
                .allSatisfy(entry -> assertThat(Path.of(entry.file())).isRegularFile());
    }

    @Test
    void hasNoOtherFormOfEntry() throws IOException {
        String text = Files.readString(LIST);
        assertThat(text.split("<suppress[ -]", -1)).hasSize(entries().size() + 1);
    }

    private static List<Entry> entries() throws IOException {
        List<Entry> entries = new ArrayList<>();
        Matcher matcher = ENTRY.matcher(Files.readString(LIST));
        while (matcher.find()) {
            entries.add(new Entry(
                    matcher.group(1).replace("\\.", "."),
                    List.of(matcher.group(2).split("\\|", -1))));
        }
        return entries;
    }

    private record Entry(String file, List<String> checks) {}
}
