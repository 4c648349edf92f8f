package cacheproxy.proxy.net;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.util.internal.logging.InternalLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests that Netty's warnings take one line each, have no stack traces, and are bounded in number. */
class NettyLogTest {
    @Test
    void writesBoundedNumberOfShortLines() {
        ByteArrayOutputStream written = new ByteArrayOutputStream();
        PrintStream standard = System.err;
        System.setErr(new PrintStream(written, true, StandardCharsets.UTF_8));
        try {
            InternalLogger log = new NettyLog.Factory().newInstance("io.netty.channel.Pipeline");
            log.info("nothing");
            log.debug("{}", 1);
            log.warn("An exception {} reached {} end:", "x", "the", new IOException("reset"));
            log.error("two\nlines");
            log.warn("100% {}", (Object) null);
            log.warn("z".repeat(5000));
            for (int i = 0; i < 3 * NettyLog.MAX_LINES; i++) {
                log.warn("again");
            }
        } finally {
            System.setErr(standard);
        }
        // Event loops of other tests may log at the same time.
        String[] lines = written.toString(StandardCharsets.UTF_8)
                .lines()
                .filter(line -> line.startsWith("netty: Pipeline"))
                .toArray(String[]::new);
        assertThat(lines).hasSize(NettyLog.MAX_LINES);
        assertThat(lines[0]).isEqualTo("netty: Pipeline: An exception x reached the end:: java.io.IOException: reset");
        assertThat(lines[1]).isEqualTo("netty: Pipeline: two");
        assertThat(lines[2]).isEqualTo("netty: Pipeline: 100% null");
        assertThat(lines[3]).hasSize("netty: Pipeline: ".length() + 300);
    }
}
