package cacheproxy.proxy.upstream;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.PolicyApi;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.SocketAddress;
import java.util.List;

final class CacheCodec extends ByteToMessageDecoder implements UpstreamConnection.Codec {
    private final UpstreamConnection connection;
    /** Bytes of the value and its line's end that are to come; negative: none, a line is next. */
    private int missing = -1;

    private int length;
    private boolean streamed;
    private boolean dropped;
    private int note;
    private float[] report;
    /** The figures of a probe's answer so far. */
    private String stats = "";

    CacheCodec(UpstreamConnection connection) {
        this.connection = connection;
        connection.use(this);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    @Override
    public ChannelFuture write(Channel channel, Attempt attempt, SocketAddress dial) {
        if (attempt.isProbe()) {
            String probe = attempt.protocol().probesLoad() ? "stats load\r\n" : "mn\r\n";
            return channel.write(MetaCodec.ascii(channel.alloc(), probe));
        }
        ClientRequest command = attempt.request();
        int leftMs = attempt.deadlineToTellMs(connection.core().now());
        String as = attempt.siblingClass();
        if (as != null) { // a sibling knows nothing of our classes, and has one of its own for such reads
            return channel.write(MetaCodec.ascii(
                    channel.alloc(),
                    "mg " + command.key + " v O" + command.id + " Pc=" + as + ",d=" + leftMs + "\r\n"));
        }
        ByteBuf head = channel.alloc().buffer(command.linePrefix.length() + command.lineSuffix.length() + 12);
        ByteBufUtil.writeAscii(head, command.linePrefix);
        MetaCodec.writeDecimal(head, leftMs);
        ByteBufUtil.writeAscii(head, command.lineSuffix);
        head.writeShort(MetaCodec.CRLF);
        if (command.value == null) {
            return channel.write(head);
        }
        channel.write(head);
        return channel.write(command.value.retainedDuplicate());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        connection.core().handling();
        connection.reading(true);
        super.channelRead(ctx, message);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        connection.reading(false);
        // Not the decoder's own, which reads on where it has fired no message, also while reading is held back.
        discardSomeReadBytes();
        ctx.fireChannelReadComplete();
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
        try {
            if (missing >= 0) {
                value(in);
            } else {
                String line = MetaCodec.readLine(in);
                if (line != null) {
                    answer(line);
                } else if (in.isReadable()) {
                    connection.partial();
                }
            }
        } catch (MetaCodec.SyntaxException e) {
            in.skipBytes(in.readableBytes());
            missing = -1;
            connection.garbage(e.getMessage());
        }
    }

    private void answer(String line) throws MetaCodec.SyntaxException {
        Attempt attempt = connection.head();
        if (attempt == null) {
            throw new MetaCodec.SyntaxException("answer to nothing");
        }
        if (attempt.isProbe()) {
            probed(attempt, line);
        } else if (line.startsWith(MetaCodec.BUSY_PREFIX)) {
            connection.ended(AttemptOutcome.FULL, 0, report(attempt, line), null, null);
        } else if (line.startsWith("SERVER_ERROR")) {
            connection.ended(AttemptOutcome.ERROR, 0, report(attempt, line), null, null);
        } else if (line.startsWith("VA ") && !attempt.request().isWrite) {
            String word = MetaCodec.tokenAt(line, 3);
            length = MetaCodec.parseLength(word);
            flags(attempt, line, 4 + word.length());
            missing = length + 2;
            streamed = length > MetaCodec.MAX_BUFFERED_VALUE_BYTES;
            if (streamed) {
                dropped = !connection.begin(length);
            }
        } else if (line.startsWith("HD ") && attempt.request().isWrite) {
            flags(attempt, line, 3);
            String receipt = MetaCodec.flag(line, 3, 'c');
            if (receipt == null && !attempt.protocol().stockServers()) {
                throw new MetaCodec.SyntaxException("no receipt");
            }
            connection.ended(AttemptOutcome.OK, note, report, null, receipt);
        } else if (line.startsWith("EN")) {
            if (attempt.protocol().stockServers() && line.equals("EN")) {
                note = 2; // stock nodes say no more; answers keep their order all the same
                report = null;
            } else {
                flags(attempt, line, 3);
            }
            connection.ended(AttemptOutcome.MISS, note, report, null, null);
        } else {
            throw new MetaCodec.SyntaxException("unknown line");
        }
    }

    private static float[] report(Attempt attempt, String line) {
        return attempt.protocol().reportOf(MetaCodec.flag(line, MetaCodec.BUSY_PREFIX.length() + 1, 'L'));
    }

    /** What the flags tell; the id must be the attempt's, or answers have lost their order. */
    private void flags(Attempt attempt, String line, int from) throws MetaCodec.SyntaxException {
        if (!MetaCodec.hasFlag(line, from, 'O', attempt.request().id)) {
            throw new MetaCodec.SyntaxException("answer to another request");
        }
        note = MetaCodec.hasFlag(line, from, 'h', "1")
                ? 1
                : !MetaCodec.hasFlag(line, from, 'h', "0")
                        ? 0
                        : MetaCodec.flag(line, from, 'Z') != null ? PolicyApi.CACHE_STATUS_FETCH_PENDING : 2;
        report = attempt.protocol().reportOf(MetaCodec.flag(line, from, 'L'));
    }

    private void value(ByteBuf in) throws MetaCodec.SyntaxException {
        if (!streamed) {
            if (in.readableBytes() < missing) {
                connection.partial();
                return;
            }
            end(in, in.readerIndex() + length);
            ByteBuf value = in.readRetainedSlice(length);
            in.skipBytes(2);
            missing = -1;
            connection.ended(AttemptOutcome.OK, note, report, value, null);
            return;
        }
        // The value's end of line is passed on only when it is seen to be one.
        int n = Math.min(missing - 2, in.readableBytes());
        if (n > 0) {
            missing -= n;
            if (dropped) {
                in.skipBytes(n);
            } else {
                connection.part(in.readRetainedSlice(n));
            }
        }
        if (missing == 2 && in.readableBytes() >= 2) {
            end(in, in.readerIndex());
            in.skipBytes(2);
            missing = -1;
            connection.ended(AttemptOutcome.OK, note, report, null, null);
        }
    }

    private static void end(ByteBuf in, int at) throws MetaCodec.SyntaxException {
        if (in.getByte(at) != '\r' || in.getByte(at + 1) != '\n') {
            throw new MetaCodec.SyntaxException("value without end");
        }
    }

    private void probed(Attempt attempt, String line) {
        if (line.startsWith("STAT ")) {
            String name = MetaCodec.tokenAt(line, 5);
            stats += name + "=" + MetaCodec.tokenAt(line, 6 + name.length()) + ",";
        } else {
            boolean ok = line.equals("MN") || line.equals("END");
            float[] figures =
                    MetaCodec.parseLoadReport(stats, attempt.protocol().reportNames());
            stats = "";
            connection.ended(ok ? AttemptOutcome.OK : AttemptOutcome.ERROR, 0, figures, null, null);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        connection.writabilityChanged();
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) throws Exception {
        super.channelInactive(ctx);
        connection.closed();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
