package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.RunHistory;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The history file of a run. */
class HistoryTest {
    @TempDir
    private Path folder;

    private final HistoryFixture history = new HistoryFixture();

    @Test
    void readsBackWrittenEventsAndNamesPlaceOfMalformedLine() throws Exception {
        Path file = folder.resolve("history.jsonl");
        try (History writer = new History(file, history.run().scenario())) {
            writer.add(7, "p1", Event.LOG_LINE, "", "a \"line\"\twith\u00e4", 1.5);
            writer.add(0, "p2", Event.REQUEST_SENT, "r1", "read", 1000);
            writer.finish();
            assertThat(writer.dropped()).isZero();
        }
        RunHistory readBack = History.read(file);
        assertThat(readBack.scenario()).isEqualTo(history.run().scenario());
        assertThat(readBack.events()).hasSize(2);
        Event logLine = readBack.events().get(0);
        assertThat(logLine.detail()).isEqualTo("a \"line\"\twith\u00e4");
        assertThat(logLine.uncertaintyUs()).isEqualTo(7);
        assertThat(logLine.value()).isEqualTo(1.5);
        assertThat(logLine.earliestUs()).isEqualTo(logLine.timeUs() - 7);
        Files.writeString(file, Files.readString(file) + "{\"us\":");
        assertThatThrownBy(() -> History.read(file)).hasMessageContaining("history.jsonl:4:1");
        Files.writeString(file, "{\"us\":1,\"who\":\"p1\"}\n");
        assertThatThrownBy(() -> History.read(file)).hasMessageContaining("no scenario");
    }
}
