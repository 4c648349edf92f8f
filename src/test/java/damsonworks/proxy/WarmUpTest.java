package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.gson.JsonParser;
import damsonworks.lifecycle.WarmUpPlan;
import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class WarmUpTest {
    /** What reaches the end of a pipeline is printed with its trace, at the start of every proxy. */
    @Test
    void aConnectionOfTheWarmUpThatIsResetIsClosedWithoutAWord() {
        EmbeddedChannel channel = new EmbeddedChannel(new WarmUp.End() {
            @Override
            protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) { }
        });
        channel.pipeline().fireExceptionCaught(new IOException("Connection reset by peer"));
        channel.checkException();
        assertThat(channel.isOpen()).isFalse();
    }

    @Test
    void aWarmUpAnswersAllItsRequestsAndOneThatTakesTooLongIsLeft() throws Exception {
        Config config = Config.parse(JsonParser.parseString(Files.readString(Path.of("src/test/resources/config.json")))
                .getAsJsonObject());
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        try {
            assertThat(WarmUp.run(group.next(), config, new WarmUpPlan(40, 8, 60_000))).isBetween(40, 48);
            assertThat(WarmUp.run(group.next(), config, new WarmUpPlan(100_000_000, 8, 20))).isLessThan(100_000_000);
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
        }
    }
}
