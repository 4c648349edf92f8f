package cacheproxy.faulttest;

import cacheproxy.fakes.FakeOrigin;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;

/**
 * Clients of all proxies: requests at random moments whatever comes back, each on a connection that has none in hand.
 * What is sent, answered, cut off and given up goes into the history. A request whose connection has ended is sent once
 * more, to any other proxy, unless it must not run twice. Besides, each proxy gets an empty call four times a second,
 * which shows how late its loop is.
 */
final class OpenLoopWorkload {
    private static final int MOST_CONNECTIONS = 64;
    private static final long TICK_NANOS = 1_000_000;
    private static final long PULSE_MS = 250;
    /** A client waits so much longer than the request's time. */
    private static final double PATIENCE_MS = 3000;

    private final EventLoop loop;
    private final Scenario.Load load;
    private final InetSocketAddress[] proxies;
    private final History history;
    private final EventLoopLag lag;
    private final SplittableRandom random;
    private final Target[] targets;
    private final double[] upTo;
    private final Histogram behindMicros = new Histogram(3_600_000_000L, 2);
    private final CompletableFuture<Void> done = new CompletableFuture<>();
    private Future<?> ticks;
    private Future<?> pulses;
    private long nextAt;
    private long startedAt;
    private long endsAt;
    private int asked;
    private int open;
    private int unreached;
    private int unsent;

    OpenLoopWorkload(EventLoop loop, Scenario scenario, InetSocketAddress[] proxies, History history) {
        this.loop = loop;
        this.proxies = proxies;
        this.history = history;
        load = scenario.load();
        lag = EventLoopLag.of(loop);
        random = new SplittableRandom(scenario.seed() * 31 + 7);
        targets = new Target[proxies.length];
        upTo = new double[proxies.length];
        double sum = 0;
        for (int i = 0; i < proxies.length; i++) {
            targets[i] = new Target(i);
            sum += Math.pow(i + 1, -load.skew());
            upTo[i] = sum;
        }
    }

    static String key(int i) {
        return "k/" + i;
    }

    /** The future ends once the time is over and nothing is open any more. */
    CompletableFuture<Void> start() {
        loop.execute(() -> {
            nextAt = System.nanoTime();
            startedAt = nextAt;
            endsAt = nextAt + (long) (load.seconds() * 1e9);
            ticks = loop.scheduleAtFixedRate(this::tick, TICK_NANOS, TICK_NANOS, TimeUnit.NANOSECONDS);
            pulses = loop.scheduleAtFixedRate(
                    () -> {
                        for (Target t : targets) {
                            t.pulse();
                        }
                    },
                    PULSE_MS,
                    PULSE_MS,
                    TimeUnit.MILLISECONDS);
        });
        return done;
    }

    EventLoopLag lag() {
        return lag;
    }

    double behindP99Ms() {
        return behindMicros.getValueAtPercentile(99) / 1000.0;
    }

    /** Requests for which no connection came up, or none was free. */
    int unreached() {
        return unreached;
    }

    int unsent() {
        return unsent;
    }

    private void tick() {
        long now = System.nanoTime();
        while (nextAt <= now && nextAt < endsAt) {
            behindMicros.recordValue(Math.min(3_600_000_000L, (now - nextAt) / 1000));
            ask();
            nextAt += (long) (-Math.log(1 - random.nextDouble()) * 1e9 / load.perSecond());
        }
        if (nextAt >= endsAt && open == 0 && !done.isDone()) {
            ticks.cancel(false);
            pulses.cancel(false);
            for (Target t : targets) {
                t.close();
            }
            done.complete(null);
        }
    }

    private void ask() {
        double at = random.nextDouble() * upTo[upTo.length - 1];
        int to = java.util.Arrays.binarySearch(upTo, at);
        String id = Integer.toHexString(0x10000000 + asked++);
        Request r;
        double kind = random.nextDouble();
        if (kind < load.writeShare()) {
            boolean keyed = kind < load.writeShare() / 2;
            r = new Request(id, keyed ? "keyed" : "unsafe", "w/" + id);
        } else {
            int key = random.nextDouble() < load.hotShare() ? 0 : random.nextInt(load.keys());
            r = new Request(id, "read", key(key));
        }
        int part = Math.min(proxies.length - 1, to < 0 ? -to - 1 : to);
        long turns = load.rotationMs() > 0 ? (long) ((nextAt - startedAt) / 1e6 / load.rotationMs()) : 0;
        targets[(int) ((part + turns) % proxies.length)].send(r);
    }

    private final class Request {
        final String id;
        final String kind;
        final String key;
        boolean again;

        Request(String id, String kind, String key) {
            this.id = id;
            this.kind = kind;
            this.key = key;
        }

        String text() {
            String list = ",d=" + (int) load.deadlineMs();
            return switch (kind) {
                case "read" -> "mg " + key + " v O" + id + " Pc=read" + list + "\r\n";
                case "keyed" ->
                    "ms " + key + " " + id.length() + " O" + id + " Pc=put" + list + ",k=" + id + "\r\n" + id + "\r\n";
                default -> "ms " + key + " " + id.length() + " O" + id + " Pc=submit" + list + "\r\n" + id + "\r\n";
            };
        }
    }

    /** A proxy, as clients see it. */
    private final class Target {
        final int index;
        final String name;
        final ArrayDeque<Conversation> idle = new ArrayDeque<>();
        final List<Channel> channels = new java.util.ArrayList<>();
        int connections;
        Conversation pulse;

        Target(int index) {
            this.index = index;
            name = TargetSelector.proxyName(index);
        }

        void send(Request r) {
            for (Conversation c; (c = idle.poll()) != null; ) {
                if (c.ctx.channel().isActive()) {
                    c.send(r);
                    return;
                }
            }
            if (connections >= MOST_CONNECTIONS) {
                unsent++;
                return;
            }
            connections++;
            open++;
            connect(
                    new Conversation(this),
                    f -> {
                        open--;
                        if (!f.isSuccess()) {
                            connections--;
                            unreached++;
                        }
                    },
                    r);
        }

        private void connect(Conversation c, java.util.function.Consumer<ChannelFuture> then, Request first) {
            ChannelFuture f = new Bootstrap()
                    .group(loop)
                    .channel(Transport.BEST.socket())
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 1000)
                    .handler(new ChannelInitializer<>() {
                        @Override
                        protected void initChannel(Channel channel) {
                            channel.pipeline().addLast(c);
                        }
                    })
                    .connect(proxies[index]);
            f.addListener(x -> {
                then.accept(f);
                if (f.isSuccess()) {
                    channels.add(f.channel());
                    f.channel().closeFuture().addListener(y -> channels.remove(f.channel()));
                    if (first != null) {
                        c.send(first);
                    }
                }
            });
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        void pulse() {
            if (pulse == null) {
                Conversation c = new Conversation(this);
                pulse = c;
                connect(c, f -> pulse = f.isSuccess() ? c : null, null);
            } else if (pulse.ctx != null && pulse.pulseAt == 0) {
                pulse.pulseAt = System.nanoTime();
                pulse.ctx.writeAndFlush(ByteBufUtil.writeAscii(pulse.ctx.alloc(), "mn\r\n"));
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        void close() {
            List.copyOf(channels).forEach(Channel::close);
        }
    }

    private final class Conversation extends ByteToMessageDecoder {
        private final Target target;
        private ChannelHandlerContext ctx;
        private Request request;
        private Future<?> patience;
        private int value = -1;
        private long pulseAt;

        Conversation(Target target) {
            this.target = target;
        }

        @Override
        public void handlerAdded(ChannelHandlerContext context) {
            ctx = context; // the connect's listener runs before channelActive
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        void send(Request r) {
            request = r;
            open++;
            history.add(0, target.name, Event.REQUEST_SENT, r.id, r.kind, load.deadlineMs());
            ctx.writeAndFlush(ByteBufUtil.writeAscii(ctx.alloc(), r.text()));
            patience = loop.schedule(
                    () -> {
                        over(Event.CLIENT_TIMED_OUT, "");
                        ctx.close();
                    },
                    (long) (load.deadlineMs() + PATIENCE_MS),
                    TimeUnit.MILLISECONDS);
        }

        private Request over(String what, String detail) {
            Request r = request;
            request = null;
            open--;
            patience.cancel(false);
            history.add(lag.nowUs(), target.name, what, r.id, detail, 0);
            return r;
        }

        @Override
        protected void decode(ChannelHandlerContext context, ByteBuf in, List<Object> out) {
            if (value >= 0) {
                if (in.readableBytes() >= value + 2) {
                    String body = in.readCharSequence(value, StandardCharsets.ISO_8859_1)
                            .toString();
                    in.skipBytes(2);
                    value = -1;
                    answered(body.equals(FakeOrigin.value(request.key)) ? "served" : "wrong");
                }
                return;
            }
            int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
            if (end < 0) {
                return;
            }
            String line = in.readCharSequence(end + 1 - in.readerIndex(), StandardCharsets.ISO_8859_1)
                    .toString()
                    .trim();
            if (pulseAt != 0) {
                history.add(0, target.name, Event.PROXY_PINGED, "", "", (System.nanoTime() - pulseAt) / 1e6);
                pulseAt = 0;
            } else if (request == null) {
                history.add(0, target.name, Event.RESPONSE_RECEIVED, "", "wrong", 0);
            } else if (!line.startsWith("SERVER_ERROR")
                    && !line.endsWith(" O" + request.id)
                    && !line.contains(" O" + request.id + " ")) {
                answered("wrong");
            } else if (line.startsWith("VA ") && request.kind.equals("read")) {
                value = Integer.parseInt(line.split(" ", 0)[1]);
            } else if (line.startsWith("HD ") && !request.kind.equals("read")) {
                answered("served");
            } else {
                answered(line.startsWith("SERVER_ERROR busy") ? "refused" : "failed");
            }
        }

        private void answered(String how) {
            over(Event.RESPONSE_RECEIVED, how);
            target.idle.push(this);
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            if (target.pulse == this) {
                target.pulse = null;
                return;
            }
            target.connections--;
            target.idle.remove(this);
            if (request != null) {
                Request r = over(Event.CONNECTION_CLOSED, "");
                // Nobody can tell whether it ran, so what must not run twice is not sent again.
                if (!r.again && !r.kind.equals("unsafe") && targets.length > 1) {
                    r.again = true;
                    int other = random.nextInt(targets.length - 1);
                    targets[other < target.index ? other : other + 1].send(r);
                }
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
