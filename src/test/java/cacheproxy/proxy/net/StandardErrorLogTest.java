package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests that a line of the log stays one line. */
class StandardErrorLogTest {
    /** Guards against text of a server or of discovery that forges a line of its own in the log. */
    @Test
    void replacesControlCharacters() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        PrintStream standard = System.err;
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            new StandardErrorLog().write("host s-1\r\ninvariant violated\u001b[2J: unknown health");
        } finally {
            System.setErr(standard);
        }
        // Event loops of other tests may log at the same time.
        assertThat(written.toString(StandardCharsets.UTF_8).lines())
                .contains("host s-1??invariant violated?[2J: unknown health");
    }
}
