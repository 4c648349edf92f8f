package cacheproxy.simulator;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.HexBytes;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * A recorded session with the simulator, one batch a line: two instances, 100 requests, servers that fail, are slow,
 * leave and join, each kind of event. The replies were recorded from this program, so this holds that decisions and
 * their bytes stay as they were, not that they are right; a change that means to decide otherwise records them anew.
 */
class SessionGoldenBytesTest {
    @Test
    void repliesToRecordedEventsAsRecorded() throws IOException {
        List<String> events = lines("session-events");
        List<String> replies = lines("session-replies");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorAdapter(new ByteArrayInputStream(HexBytes.parse(String.join("", events))), out).run();
        assertThat(frames(out.toByteArray())).isEqualTo(replies).hasSameSizeAs(events);
    }

    private static List<String> lines(String name) throws IOException {
        try (var input = SessionGoldenBytesTest.class.getResourceAsStream("/wire/" + name + ".hex")) {
            return new String(input.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .toList();
        }
    }

    /** Each reply begins with its length. */
    private static List<String> frames(byte[] bytes) {
        ByteBuffer input = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        List<String> frames = new ArrayList<>();
        for (int at = 0; at < bytes.length; at += input.getInt(at)) {
            frames.add(HexFormat.of().formatHex(bytes, at, at + input.getInt(at)));
        }
        return frames;
    }
}
