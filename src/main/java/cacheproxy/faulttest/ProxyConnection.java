package cacheproxy.faulttest;

import cacheproxy.fakes.FakeOrigin;
import cacheproxy.faulttest.check.Event;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * One connection of a client to a proxy, with at most one request or ping in flight. It checks whether each response
 * belongs to the request and has the content that the origin created for its key.
 */
final class ProxyConnection extends ByteToMessageDecoder {
    /** How much longer than a request's deadline its client waits. */
    private static final double EXTRA_WAIT_MS = 3000;

    private static final int NO_VALUE = -1;

    private final OpenLoopWorkload workload;
    private final ProxyClient client;
    private ChannelHandlerContext ctx;
    private WorkloadRequest request;
    private Future<?> timeout;
    /** Length of the value to be read next; {@link #NO_VALUE} if a line is next. */
    private int valueLength = NO_VALUE;
    /** When the ping in flight was sent; 0 if there is none. */
    private long pingNanos;

    ProxyConnection(OpenLoopWorkload workload, ProxyClient client) {
        this.workload = workload;
        this.client = client;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
        ctx = context; // set here, as the connect's listener runs before channelActive
    }

    /** Returns whether requests can be sent on this connection. */
    boolean isActive() {
        return ctx.channel().isActive();
    }

    /** Sends a request. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    void send(WorkloadRequest newRequest) {
        double deadlineMs = workload.load().deadlineMs();
        request = newRequest;
        workload.countPending();
        workload.history()
                .add(0, client.proxyName(), Event.REQUEST_SENT, newRequest.id(), newRequest.kind(), deadlineMs);
        ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), newRequest.command((int) deadlineMs)));
        timeout = workload.loop()
                .schedule(
                        () -> {
                            conclude(Event.CLIENT_TIMED_OUT, "");
                            ctx.close();
                        },
                        (long) (deadlineMs + EXTRA_WAIT_MS),
                        TimeUnit.MILLISECONDS);
    }

    /** Sends a ping, unless one is in flight or the connection is not established yet. */
    @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
    void ping() {
        if (ctx != null && pingNanos == 0) {
            pingNanos = System.nanoTime();
            ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), "mn\r\n"));
        }
    }

    private WorkloadRequest conclude(String eventType, String detail) {
        WorkloadRequest concluded = request;
        request = null;
        workload.countConcluded();
        timeout.cancel(false);
        workload.history().add(workload.lag().currentLagUs(), client.proxyName(), eventType, concluded.id(), detail, 0);
        return concluded;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf input, List<Object> out) {
        if (valueLength != NO_VALUE) {
            decodeValue(input);
            return;
        }
        int end = input.indexOf(input.readerIndex(), input.writerIndex(), (byte) '\n');
        if (end >= 0) {
            String line = input.readCharSequence(end + 1 - input.readerIndex(), StandardCharsets.ISO_8859_1)
                    .toString()
                    .trim();
            handleLine(line);
        }
    }

    private void decodeValue(ByteBuf input) {
        int lineEndLength = 2;
        if (input.readableBytes() >= valueLength + lineEndLength) {
            String value = input.readCharSequence(valueLength, StandardCharsets.ISO_8859_1)
                    .toString();
            input.skipBytes(lineEndLength);
            valueLength = NO_VALUE;
            concludeWithResponse(value.equals(FakeOrigin.value(request.key())) ? Event.SERVED : Event.WRONG);
        }
    }

    private void handleLine(String line) {
        if (pingNanos != 0) {
            double latencyMs = (System.nanoTime() - pingNanos) / 1e6;
            workload.history().add(0, client.proxyName(), Event.PROXY_PINGED, "", "", latencyMs);
            pingNanos = 0;
        } else if (request == null) {
            workload.history().add(0, client.proxyName(), Event.RESPONSE_RECEIVED, "", Event.WRONG, 0);
        } else if (!line.startsWith("SERVER_ERROR") && !hasRequestId(line)) {
            concludeWithResponse(Event.WRONG);
        } else if (line.startsWith("VA ") && request.isRead()) {
            valueLength = Integer.parseInt(line.split(" ", 0)[1]);
        } else if (line.startsWith("HD ") && !request.isRead()) {
            concludeWithResponse(Event.SERVED);
        } else {
            concludeWithResponse(line.startsWith("SERVER_ERROR busy") ? Event.REJECTED : Event.FAILED);
        }
    }

    private boolean hasRequestId(String line) {
        String flag = " O" + request.id();
        return line.endsWith(flag) || line.contains(flag + " ");
    }

    private void concludeWithResponse(String result) {
        WorkloadRequest concluded = conclude(Event.RESPONSE_RECEIVED, result);
        client.connectionReleased(this);
        if (result.equals(Event.REJECTED)) {
            workload.retryRejected(concluded);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!client.pingConnectionClosed(this)) {
            client.connectionClosed(this, request == null ? null : conclude(Event.CONNECTION_CLOSED, ""));
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
