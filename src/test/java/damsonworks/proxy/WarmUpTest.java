package damsonworks.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.IOException;
import java.util.List;
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
}
