package cacheproxy.fakes;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.SocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.IntFunction;

/**
 * A load generator that keeps a fixed number of requests in flight on each of several connections, and counts the
 * outcome of each request: it is served, refused, failed or missed exactly once, or it is lost. Runs on one event loop.
 */
public final class LoadClient {
    /**
     * A request: a write of {@code writeValue}, or a read if that is null. Values of writes are unique, so that a write
     * can be identified by its value. A null {@code expectedValue} accepts any value of a read.
     */
    public record LoadRequest(String key, String parameters, String writeValue, String expectedValue) {}

    /** The outcomes of all requests. */
    public static final class LoadResult {
        public int sent;
        public int served;
        public int refused;
        public int refusedWithoutRetryAfter;
        public int failed;
        public int missed;
        /** Requests without an answer, answers without a request, and wrong values. */
        public int lost;

        public final List<String> errors = new ArrayList<>();

        public int answered() {
            return served + refused + failed + missed;
        }

        private void recordLost(String error) {
            lost++;
            if (errors.size() < 20) {
                errors.add(error);
            }
        }
    }

    private final EventLoop loop;
    private final SocketAddress address;
    private final IntFunction<LoadRequest> requests;
    private final int requestCount;
    private final LoadResult result = new LoadResult();
    private final CompletableFuture<LoadResult> done = new CompletableFuture<>();
    private final List<ConnectionHandler> handlers = new ArrayList<>();
    private java.util.function.IntConsumer progressListener = count -> {};

    /** @param requests returns the request of each number from 0 on; called on the event loop */
    public LoadClient(EventLoop loop, SocketAddress address, int requestCount, IntFunction<LoadRequest> requests) {
        this.loop = loop;
        this.address = address;
        this.requestCount = requestCount;
        this.requests = requests;
    }

    /**
     * Sets a listener that is called on the event loop after each answer, with the number of requests that are done.
     */
    public LoadClient onProgress(java.util.function.IntConsumer listener) {
        progressListener = listener;
        return this;
    }

    /**
     * Opens the connections, each with up to {@code pipelineDepth} requests in flight; the future completes with the
     * last answer.
     */
    public CompletableFuture<LoadResult> start(int connectionCount, int pipelineDepth) {
        for (int i = 0; i < connectionCount; i++) {
            new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            ConnectionHandler handler = new ConnectionHandler(pipelineDepth);
                            handlers.add(handler);
                            channel.pipeline().addLast(handler);
                        }
                    })
                    .connect(address)
                    .addListener(connected -> {
                        if (!connected.isSuccess()) {
                            done.completeExceptionally(connected.cause());
                        }
                    });
        }
        return done;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    private void completeIfDone() {
        progressListener.accept(result.answered() + result.lost);
        if (result.answered() + result.lost == requestCount) {
            List.copyOf(handlers).forEach(handler -> handler.ctx.close());
            done.complete(result);
        }
    }

    private final class ConnectionHandler extends ByteToMessageDecoder {
        private final int pipelineDepth;
        private final ArrayDeque<LoadRequest> pending = new ArrayDeque<>();
        private ChannelHandlerContext ctx;
        private int valueLength = -1;
        private int activePauses;

        ConnectionHandler(int pipelineDepth) {
            this.pipelineDepth = pipelineDepth;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            sendRequests();
            ctx.flush();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void sendRequests() {
            while (activePauses == 0 && pending.size() < pipelineDepth && result.sent < requestCount) {
                LoadRequest request = requests.apply(result.sent++);
                pending.add(request);
                ByteBuf buf = ctx.alloc().buffer(128);
                String parameters = request.parameters().isEmpty() ? "" : " P" + request.parameters();
                if (request.writeValue() == null) {
                    ByteBufUtil.writeAscii(buf, "mg " + request.key() + " v" + parameters + "\r\n");
                } else {
                    ByteBufUtil.writeAscii(
                            buf,
                            "ms " + request.key() + " " + request.writeValue().length() + parameters + "\r\n"
                                    + request.writeValue() + "\r\n");
                }
                ctx.write(buf);
            }
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (valueLength >= 0) {
                if (in.readableBytes() < valueLength + 2) {
                    return;
                }
                LoadRequest request = pending.poll();
                if (request.expectedValue() != null
                        && !request.expectedValue()
                                .equals(in.toString(in.readerIndex(), valueLength, StandardCharsets.ISO_8859_1))) {
                    result.recordLost("wrong value for " + request.key());
                } else {
                    result.served++;
                }
                in.skipBytes(valueLength + 2);
                valueLength = -1;
                onAnswered();
                return;
            }
            String line = Lines.readLine(in);
            if (line == null) {
                return;
            }
            LoadRequest request = pending.peek();
            if (request == null) {
                result.recordLost("answer to nothing: " + line);
                return;
            }
            if (line.startsWith("VA ") && request.writeValue() == null) {
                valueLength = Integer.parseInt(line.split(" ", 0)[1]);
                return;
            }
            pending.poll();
            if (line.startsWith("HD") && request.writeValue() != null) {
                result.served++;
            } else if (line.startsWith("SERVER_ERROR busy")) {
                result.refused++;
                boolean hasRetryAfter = line.startsWith("SERVER_ERROR busy ");
                result.refusedWithoutRetryAfter += hasRetryAfter ? 0 : 1;
                if (hasRetryAfter) {
                    pauseSending(Integer.parseInt(line.substring(18)));
                }
            } else if (line.startsWith("SERVER_ERROR")) {
                result.failed++;
            } else if (line.startsWith("EN")) {
                result.missed++;
            } else {
                result.recordLost("unexpected: " + line);
            }
            onAnswered();
        }

        /** Sends nothing until the retry-after time that the proxy has reported is over. */
        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        private void pauseSending(int ms) {
            activePauses++;
            loop.schedule(
                    () -> {
                        if (--activePauses == 0 && ctx.channel().isActive()) {
                            sendRequests();
                            ctx.flush();
                        }
                    },
                    ms,
                    TimeUnit.MILLISECONDS);
        }

        private void onAnswered() {
            sendRequests();
            completeIfDone();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            handlers.remove(this);
            if (!done.isDone()) {
                for (LoadRequest request; (request = pending.poll()) != null; ) {
                    result.recordLost("connection ended before the answer for " + request.key());
                }
                completeIfDone();
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
