package cacheproxy.bench;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Asks at an even pace whatever comes back, so that what is asked of a daemon is the same in each window, however slow
 * the answers are. One connection; it has at most so many commands open as a connection may, and leaves out those
 * beyond.
 */
final class ConstantRateClient extends ChannelInboundHandlerAdapter {
    private static final int MOST_OPEN = 31;
    private final long everyMicros;
    /** Times of answers, ns. */
    private final Histogram nanos = new Histogram(60_000_000_000L, 3);

    private final long[] sentAt = new long[MOST_OPEN + 1];
    private int next;
    private int open;
    private long asked;
    private long answered;
    private long leftOut;
    /** Whether the line that comes is a value, not an answer's first. */
    private boolean value;

    private boolean startsValue;
    private boolean lineStart = true;
    private Future<?> pace;
    private boolean over;

    ConstantRateClient(long everyMicros) {
        this.everyMicros = everyMicros;
    }

    /** What became of all: asked, answered, left out. */
    record Count(long asked, long answered, long leftOut, Histogram nanos) {}

    /** Connects; {@link #stop} ends it. */
    Channel start(EventLoop loop, SocketAddress to) throws InterruptedException {
        return new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.socket())
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(ConstantRateClient.this);
                    }
                })
                .connect(to)
                .sync()
                .channel();
    }

    /** Asks no more, waits for what is open and closes. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    Count stop(Channel channel) throws Exception {
        channel.eventLoop()
                .submit(() -> {
                    over = true;
                    pace.cancel(false);
                    if (open == 0) {
                        channel.close();
                    }
                })
                .get();
        channel.closeFuture().sync();
        return new Count(asked, answered, leftOut, nanos);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        pace = ctx.executor().scheduleAtFixedRate(() -> ask(ctx), everyMicros, everyMicros, TimeUnit.MICROSECONDS);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private void ask(ChannelHandlerContext ctx) {
        if (open >= MOST_OPEN) {
            leftOut++;
            return;
        }
        open++;
        sentAt[(int) (asked++ % sentAt.length)] = System.nanoTime();
        byte[] line = ("mg key/" + next++ % 1000 + " v\r\n").getBytes(StandardCharsets.ISO_8859_1);
        ctx.writeAndFlush(ctx.alloc().buffer(line.length).writeBytes(line));
    }

    /** Answers are told by their lines: the bench's values hold no end of line, and are a line by themselves. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf in = (ByteBuf) message;
        while (in.isReadable()) {
            int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
            boolean begins = in.getByte(in.readerIndex()) == 'V';
            if (!value && lineStart) {
                startsValue = begins;
            }
            lineStart = end >= 0;
            in.readerIndex(end < 0 ? in.writerIndex() : end + 1);
            if (end < 0) {
                continue;
            }
            if (!value && startsValue) {
                value = true;
            } else {
                value = false;
                open--;
                nanos.recordValue(System.nanoTime() - sentAt[(int) (answered++ % sentAt.length)]);
            }
        }
        in.release();
        if (over && open == 0) {
            ctx.close();
        }
    }
}
