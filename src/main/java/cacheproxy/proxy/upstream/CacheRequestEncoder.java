package cacheproxy.proxy.upstream;

import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;

/** Writes attempts in the meta text protocol of cache servers and sibling proxies. */
final class CacheRequestEncoder {
    private static final String HEALTH_PROBE = "mn\r\n";
    private static final String LOAD_PROBE = "stats load\r\n";
    /** The maximum length of a deadline's digits and the line end. */
    private static final int MAX_DEADLINE_AND_CRLF_BYTES = 12;

    private CacheRequestEncoder() {}

    /** Writes an attempt without flushing. The future completes when the last byte has been written. */
    static ChannelFuture write(Channel channel, Attempt attempt, double nowMs) {
        if (attempt.isProbe()) {
            String probe = attempt.protocol().probesLoad() ? LOAD_PROBE : HEALTH_PROBE;
            return channel.write(MetaCodec.ascii(channel.alloc(), probe));
        }
        ClientRequest request = attempt.request();
        int deadlineMs = attempt.deadlineForServerMs(nowMs);
        String siblingClass = attempt.siblingClass();
        return siblingClass == null
                ? writeToServer(channel, request, deadlineMs)
                : writeToSibling(channel, request, siblingClass, deadlineMs);
    }

    /**
     * Writes a read with the sibling's own request class for reads of siblings, as a sibling does not know this proxy's
     * request classes.
     */
    private static ChannelFuture writeToSibling(
            Channel channel, ClientRequest request, String siblingClass, int deadlineMs) {
        String line =
                "mg " + request.key() + " v O" + request.id() + " Pc=" + siblingClass + ",d=" + deadlineMs + "\r\n";
        return channel.write(MetaCodec.ascii(channel.alloc(), line));
    }

    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    private static ChannelFuture writeToServer(Channel channel, ClientRequest request, int deadlineMs) {
        int maxLength = request.linePrefix().length() + request.lineSuffix().length() + MAX_DEADLINE_AND_CRLF_BYTES;
        ByteBuf line = channel.alloc().buffer(maxLength);
        ByteBufUtil.writeAscii(line, request.linePrefix());
        MetaCodec.writeDecimal(line, deadlineMs);
        ByteBufUtil.writeAscii(line, request.lineSuffix());
        line.writeShort(MetaCodec.CRLF);
        if (request.value() == null) {
            return channel.write(line);
        }
        channel.write(line);
        return channel.write(request.value().retainedDuplicate());
    }
}
