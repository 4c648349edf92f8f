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
 * Clients that keep a number of requests in hand on several connections, and account for each of them: it is served,
 * refused or failed exactly once, or it is lost. All on one event loop.
 */
public final class LoadClient {
    /** What to ask. {@code mark} tells a write apart in its value; {@code expect} is a read's value, null: any. */
    public record Ask(String key, String list, String mark, String expect) {}

    /** What became of all. */
    public static final class Account {
        public int sent;
        public int served;
        public int refused;
        public int refusedWithoutTime;
        public int failed;
        public int missing;
        /** No answer, an answer to nothing, or a wrong value. */
        public int lost;

        public final List<String> faults = new ArrayList<>();

        public int answered() {
            return served + refused + failed + missing;
        }

        private void fault(String what) {
            lost++;
            if (faults.size() < 20) {
                faults.add(what);
            }
        }
    }

    private final EventLoop loop;
    private final SocketAddress to;
    private final IntFunction<Ask> asks;
    private final int total;
    private final Account account = new Account();
    private final CompletableFuture<Account> done = new CompletableFuture<>();
    private final List<Conversation> conversations = new ArrayList<>();
    private java.util.function.IntConsumer progress = n -> {};

    /** @param asks the request of each number from 0 on; called on the loop */
    public LoadClient(EventLoop loop, SocketAddress to, int total, IntFunction<Ask> asks) {
        this.loop = loop;
        this.to = to;
        this.total = total;
        this.asks = asks;
    }

    /** Told on the loop how many have been answered, after each answer. */
    public LoadClient onProgress(java.util.function.IntConsumer listener) {
        progress = listener;
        return this;
    }

    /** Starts so many connections with so many requests in hand on each; the future ends with the last answer. */
    public CompletableFuture<Account> start(int connections, int depth) {
        for (int i = 0; i < connections; i++) {
            new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            Conversation c = new Conversation(depth);
                            conversations.add(c);
                            channel.pipeline().addLast(c);
                        }
                    })
                    .connect(to)
                    .addListener(f -> {
                        if (!f.isSuccess()) {
                            done.completeExceptionally(f.cause());
                        }
                    });
        }
        return done;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    private void check() {
        progress.accept(account.answered() + account.lost);
        if (account.answered() + account.lost == total) {
            List.copyOf(conversations).forEach(c -> c.ctx.close());
            done.complete(account);
        }
    }

    private final class Conversation extends ByteToMessageDecoder {
        private final int depth;
        private final ArrayDeque<Ask> waiting = new ArrayDeque<>();
        private ChannelHandlerContext ctx;
        private int missing = -1;
        private int paused;

        Conversation(int depth) {
            this.depth = depth;
        }

        @Override
        public void channelActive(ChannelHandlerContext context) {
            ctx = context;
            fill();
            ctx.flush();
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void fill() {
            while (paused == 0 && waiting.size() < depth && account.sent < total) {
                Ask ask = asks.apply(account.sent++);
                waiting.add(ask);
                ByteBuf buf = ctx.alloc().buffer(128);
                String list = ask.list().isEmpty() ? "" : " P" + ask.list();
                if (ask.mark() == null) {
                    ByteBufUtil.writeAscii(buf, "mg " + ask.key() + " v" + list + "\r\n");
                } else {
                    ByteBufUtil.writeAscii(
                            buf, "ms " + ask.key() + " " + ask.mark().length() + list + "\r\n" + ask.mark() + "\r\n");
                }
                ctx.write(buf);
            }
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (missing >= 0) {
                if (in.readableBytes() < missing + 2) {
                    return;
                }
                Ask ask = waiting.poll();
                if (ask.expect() != null
                        && !ask.expect().equals(in.toString(in.readerIndex(), missing, StandardCharsets.ISO_8859_1))) {
                    account.fault("wrong value for " + ask.key());
                } else {
                    account.served++;
                }
                in.skipBytes(missing + 2);
                missing = -1;
                answered();
                return;
            }
            String line = Lines.take(in);
            if (line == null) {
                return;
            }
            Ask ask = waiting.peek();
            if (ask == null) {
                account.fault("answer to nothing: " + line);
                return;
            }
            if (line.startsWith("VA ") && ask.mark() == null) {
                missing = Integer.parseInt(line.split(" ", 0)[1]);
                return;
            }
            waiting.poll();
            if (line.startsWith("HD") && ask.mark() != null) {
                account.served++;
            } else if (line.startsWith("SERVER_ERROR busy")) {
                account.refused++;
                boolean told = line.startsWith("SERVER_ERROR busy ");
                account.refusedWithoutTime += told ? 0 : 1;
                if (told) {
                    pause(Integer.parseInt(line.substring(18)));
                }
            } else if (line.startsWith("SERVER_ERROR")) {
                account.failed++;
            } else if (line.startsWith("EN")) {
                account.missing++;
            } else {
                account.fault("unexpected: " + line);
            }
            answered();
        }

        /** A client that is told when to come back asks nothing before. */
        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        private void pause(int ms) {
            paused++;
            loop.schedule(
                    () -> {
                        if (--paused == 0 && ctx.channel().isActive()) {
                            fill();
                            ctx.flush();
                        }
                    },
                    ms,
                    TimeUnit.MILLISECONDS);
        }

        private void answered() {
            fill();
            check();
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext context) {
            context.flush();
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            conversations.remove(this);
            if (!done.isDone()) {
                for (Ask ask; (ask = waiting.poll()) != null; ) {
                    account.fault("connection ended before the answer for " + ask.key());
                }
                check();
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
