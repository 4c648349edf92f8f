package cacheproxy;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/**
 * Tests that the files of the decision module named in the deploy file exist, and that none of their lines is longer
 * than the formatter's 120 columns. The operators lifted the limit on the number of lines.
 */
class ModuleSizeTest {
    @Test
    void theModulesFilesAreThereAndReadable() throws IOException {
        String deploy = Files.readString(Path.of("deploy/balancer.toml"));
        Matcher list = Pattern.compile("(?m)^policy = \\[(.*)]").matcher(deploy);
        assertThat(list.find()).isTrue();
        Matcher file = Pattern.compile("\"([^\"]+)\"").matcher(list.group(1));
        int files = 0;
        while (file.find()) {
            List<String> text = Files.readAllLines(Path.of(file.group(1)));
            assertThat(text)
                    .allSatisfy(line -> assertThat(line.length()).as(line).isLessThanOrEqualTo(120));
            files++;
        }
        assertThat(files).isEqualTo(41);
    }
}
