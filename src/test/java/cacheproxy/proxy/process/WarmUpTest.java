package cacheproxy.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.lifecycle.WarmUpPlan;
import cacheproxy.proxy.net.Transport;
import com.google.gson.JsonParser;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that the warm-up works through Unix sockets, and that it survives a reset or refused connection. */
class WarmUpTest {
    /**
     * Guards against a stack trace at the start of every proxy: an exception that reaches the end of the pipeline would
     * be printed.
     */
    @Test
    void closesResetConnectionSilently() {
        EmbeddedChannel channel = new EmbeddedChannel(new WarmUp.ResetTolerantDecoder() {
            @Override
            protected void decode(ChannelHandlerContext ctx, ByteBuf input, List<Object> output) {}
        });
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.checkException();
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void answersAllRequestsAndGivesUpAtTimeLimit() throws Exception {
        PlatformConfig config =
                PlatformConfig.parse(JsonParser.parseString(Files.readString(Path.of("src/test/resources/config.json")))
                        .getAsJsonObject());
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        try {
            assertThat(WarmUp.run(group.next(), config, new WarmUpPlan(40, 8, 60_000)))
                    .isBetween(40, 48);
            assertThat(WarmUp.run(group.next(), config, new WarmUpPlan(100_000_000, 8, 20)))
                    .isLessThan(100_000_000);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    /**
     * Guards against sockets and files that a failed warm-up leaves behind, for example if connections to Unix sockets
     * are not permitted.
     */
    @Test
    void leavesNoSocketOrFileWhenConnectionIsRefused(@TempDir Path folder) throws Exception {
        PlatformConfig config =
                PlatformConfig.parse(JsonParser.parseString(Files.readString(Path.of("src/test/resources/config.json")))
                        .getAsJsonObject());
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        try {
            List<String> opened = new ArrayList<>();
            int answered = WarmUp.run(group.next(), config, new WarmUpPlan(40, 8, 60_000), folder, proxyAddress -> {
                opened.addAll(sockets(folder));
                return Transport.BEST.localAddress(folder.resolve("nobody"));
            });
            assertThat(answered).isZero();
            assertThat(opened).hasSize(3);
            assertThat(sockets(folder)).isEmpty();
            try (Stream<Path> files = Files.list(folder)) {
                assertThat(files).isEmpty();
            }
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }

    /** Unix sockets that are bound under this folder, as the system lists them. */
    private static List<String> sockets(Path folder) {
        try (Stream<String> lines = Files.lines(Path.of("/proc/net/unix"))) {
            return lines.filter(line -> line.contains(folder.toString())).toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
