package cacheproxy.fakes;

import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.handler.codec.ByteToMessageDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache node on loopback that implements the meta commands (memcached's protocol.txt, "Meta Commands"). It handles
 * commands one after another with a configurable service time, and can be stalled and restarted empty. In a fleet with
 * an origin, writes go to the origin and the node only caches; a node on its own stores the values that it is sent.
 */
public final class FakeCacheServer implements AutoCloseable {
    /** Maximum number of stored values; the least recently used are evicted first. */
    private static final int MAX_VALUES = 100_000;

    private static final int MAX_IDEMPOTENCY_KEYS = 100_000;

    private final EventLoop loop;
    private final EffectLedger ledger;
    private final Map<String, byte[]> values = new LinkedHashMap<>(16, 0.75f, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, byte[]> eldest) {
            return size() > MAX_VALUES;
        }
    };
    private final Set<String> idempotencyKeys = new HashSet<>();
    private final ChannelGroup connections;
    private final AtomicInteger commands = new AtomicInteger();
    private final AtomicInteger probes = new AtomicInteger();
    private Channel server;
    private int port;
    private MissListener missListener;
    private SlowStartMonitor slowStartMonitor;
    private double serviceTimeMs;
    private double delayMs;
    private double busyUntilMs;
    private double stalledUntilMs;
    /** Commands that arrived during a stall. */
    private final ArrayDeque<Runnable> stalledCommands = new ArrayDeque<>();

    private boolean muted;
    private int rejectNext;
    private int queueCapacity = Integer.MAX_VALUE;
    private Observer observer;

    /** Is notified of reads that missed at this node. */
    interface MissListener {
        void onMiss(String id, String key, FakeCacheServer node);
    }

    /** Is notified of each command that arrives, with the id of the request, or null if it has none. */
    public interface Observer {
        void onCommand(String id);
    }

    private FakeCacheServer(EventLoop loop, EffectLedger ledger) {
        this.loop = loop;
        this.ledger = ledger;
        connections = new DefaultChannelGroup(loop);
    }

    /** Starts a node that listens on an ephemeral port of 127.0.0.1. */
    public static FakeCacheServer start(EventLoop loop, EffectLedger ledger) throws InterruptedException {
        FakeCacheServer node = new FakeCacheServer(loop, ledger);
        node.listen();
        return node;
    }

    private void listen() throws InterruptedException {
        server = new ServerBootstrap()
                .group(loop)
                .channel(Transport.BEST.server())
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 512)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        connections.add(channel);
                        channel.pipeline().addLast(new ConnectionHandler());
                    }
                })
                .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
                .sync()
                .channel();
        port = ((InetSocketAddress) server.localAddress()).getPort();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    public String dial() {
        return "127.0.0.1:" + port;
    }

    /** Returns the number of commands received, including those before restarts. */
    public int commands() {
        return commands.get();
    }

    /** Returns the number of health probes ({@code mn}) received, including those before restarts. */
    public int probes() {
        return probes.get();
    }

    void setMissListener(MissListener listener) {
        missListener = listener;
    }

    // ---- behavior and faults; each method returns after the change is in effect

    private void runOnLoop(Runnable task) {
        if (loop.inEventLoop()) {
            task.run();
        } else {
            loop.submit(task).syncUninterruptibly();
        }
    }

    /** Sets the service time of each command; commands are served one after another. */
    public FakeCacheServer setServiceTimeMs(double ms) {
        runOnLoop(() -> serviceTimeMs = ms);
        return this;
    }

    /** Sets how many commands can wait at once; further ones are answered with {@code SERVER_ERROR busy}. */
    public FakeCacheServer queueCapacity(int commands) {
        runOnLoop(() -> queueCapacity = commands);
        return this;
    }

    public FakeCacheServer setObserver(Observer newObserver) {
        runOnLoop(() -> observer = newObserver);
        return this;
    }

    /** Delays each answer by {@code ms}, without delaying the commands after it. */
    public FakeCacheServer setDelayMs(double ms) {
        runOnLoop(() -> delayMs = ms);
        return this;
    }

    /** Answers nothing for {@code ms}, and then all commands that arrived meanwhile. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    public void stall(double ms) {
        runOnLoop(() -> {
            stalledUntilMs = Math.max(stalledUntilMs, now() + ms);
            loop.schedule(this::resume, (long) (ms * 1e6), TimeUnit.NANOSECONDS);
        });
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void resume() {
        double remainingMs = stalledUntilMs - now();
        if (remainingMs > 0) {
            loop.schedule(
                    this::resume,
                    (long) (remainingMs * 1e6),
                    TimeUnit.NANOSECONDS); // another stall has begun, or the timer fired early by clock rounding
            return;
        }
        for (Runnable command; (command = stalledCommands.poll()) != null; ) {
            command.run();
        }
    }

    /** Sets whether the node reads commands without answering them. */
    public void muted(boolean on) {
        runOnLoop(() -> muted = on);
    }

    /** Answers the next {@code commandCount} commands with {@code SERVER_ERROR busy}. */
    public void rejectNext(int commandCount) {
        runOnLoop(() -> rejectNext = commandCount);
    }

    /** Sets a monitor of the requests that the node receives while it is cold. */
    public FakeCacheServer slowStartMonitor(SlowStartMonitor monitor) {
        runOnLoop(() -> slowStartMonitor = monitor);
        return this;
    }

    /** Simulates the end of its process: resets connections, refuses new ones and discards all values. */
    public void kill() {
        server.close().syncUninterruptibly();
        runOnLoop(() -> {
            connections.forEach(channel -> channel.config().setOption(ChannelOption.SO_LINGER, 0));
            values.clear();
            idempotencyKeys.clear();
            stalledCommands.clear();
            stalledUntilMs = 0;
            busyUntilMs = 0;
        });
        connections.close().syncUninterruptibly();
    }

    /** Starts the node again at the same address, empty and cold. */
    public void restart() throws InterruptedException {
        runOnLoop(() -> {
            if (slowStartMonitor != null) {
                slowStartMonitor.recordStart(now());
            }
        });
        listen();
    }

    /** Stores a value, as the origin does after a read has missed. */
    public void store(String key, byte[] value) {
        loop.execute(() -> values.put(key, value));
    }

    /** Removes a value without notifying anyone. */
    public void evict(String key) {
        runOnLoop(() -> values.remove(key));
    }

    /** Invalidates a key after a write. */
    void invalidate(String key) {
        loop.execute(() -> values.remove(key));
    }

    static double now() {
        return System.nanoTime() / 1e6;
    }

    @Override
    public void close() {
        server.close().syncUninterruptibly();
        connections.close().syncUninterruptibly();
    }

    private final class ConnectionHandler extends ByteToMessageDecoder {
        private String pendingWrite;
        private int missingBytes;

        @Override
        protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) {
            if (pendingWrite != null) {
                if (in.readableBytes() >= missingBytes) {
                    byte[] value = new byte[missingBytes - 2];
                    in.readBytes(value).skipBytes(2);
                    String line = pendingWrite;
                    pendingWrite = null;
                    handle(ctx, line, value);
                }
                return;
            }
            String line = Lines.readLine(in);
            if (line == null) {
                return;
            }
            if (line.startsWith("ms ")) {
                missingBytes = Integer.parseInt(line.split(" ", 4)[2]) + 2;
                pendingWrite = line;
            } else {
                handle(ctx, line, null);
            }
        }

        private void handle(ChannelHandlerContext ctx, String line, byte[] value) {
            boolean isProbe = line.equals("mn");
            (isProbe ? probes : commands).incrementAndGet();
            if (observer != null && !isProbe) {
                observer.onCommand(Lines.flag(line, 'O'));
            }
            if (now() < stalledUntilMs || !stalledCommands.isEmpty()) {
                stalledCommands.add(() -> serve(ctx, line, value)); // a stalled node does not answer "busy" either
            } else {
                serve(ctx, line, value);
            }
        }

        @SuppressWarnings(
                "FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
        private void serve(ChannelHandlerContext ctx, String line, byte[] value) {
            double nowMs = now();
            if (line.equals("mn")) {
                if (!muted) {
                    writeText(ctx, "MN\r\n");
                }
                return;
            }
            if (slowStartMonitor != null) {
                slowStartMonitor.recordArrival(nowMs);
            }
            if (muted) {
                return;
            }
            boolean full = serviceTimeMs > 0 && busyUntilMs - nowMs > queueCapacity * serviceTimeMs;
            if (rejectNext > 0 || full) {
                rejectNext -= full ? 0 : 1;
                writeText(ctx, "SERVER_ERROR busy\r\n");
                return;
            }
            busyUntilMs = Math.max(nowMs, busyUntilMs) + serviceTimeMs;
            double answerAtMs = busyUntilMs + delayMs;
            if (answerAtMs <= nowMs) {
                execute(ctx, line, value);
            } else {
                loop.schedule(
                        () -> execute(ctx, line, value), (long) ((answerAtMs - nowMs) * 1e6), TimeUnit.NANOSECONDS);
            }
        }

        private void execute(ChannelHandlerContext ctx, String line, byte[] value) {
            if (!ctx.channel().isActive()) {
                if (value == null) {
                    return; // a read has no effect; a write is executed even after its client has gone
                }
            }
            String key = line.substring(3, line.indexOf(' ', 3));
            String id = Lines.flag(line, 'O');
            String idFlag = id == null ? "" : " O" + id;
            if (value != null) {
                store(line, key, value);
                writeText(ctx, "HD" + idFlag + " cw" + (id == null ? "" : id) + "\r\n");
                return;
            }
            ledger.recordRead();
            byte[] storedValue = values.get(key);
            if (storedValue == null) {
                if (missListener != null) {
                    missListener.onMiss(id, key, FakeCacheServer.this);
                }
                writeText(ctx, "EN" + idFlag + " h0\r\n");
                return;
            }
            ByteBuf buf = ctx.alloc().buffer(64 + storedValue.length);
            ByteBufUtil.writeAscii(buf, "VA " + storedValue.length + idFlag + " h1\r\n");
            buf.writeBytes(storedValue).writeShort('\r' << 8 | '\n');
            write(ctx, buf);
        }

        private void store(String line, String key, byte[] value) {
            String idempotencyKey = Lines.listValue(Lines.flag(line, 'P'), "k");
            if (idempotencyKey != null
                    && idempotencyKeys.size() < MAX_IDEMPOTENCY_KEYS
                    && !idempotencyKeys.add(idempotencyKey)) {
                ledger.recordDroppedRepeat();
                return;
            }
            values.put(key, value);
            ledger.recordEffect(
                    idempotencyKey != null
                            ? idempotencyKey
                            : new String(value, java.nio.charset.StandardCharsets.ISO_8859_1));
        }

        private void writeText(ChannelHandlerContext ctx, String text) {
            write(ctx, ByteBufUtil.writeAscii(ctx.alloc(), text));
        }

        /** Writes an answer; answers to commands of the same read are flushed together. */
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        private void write(ChannelHandlerContext ctx, ByteBuf buf) {
            ctx.write(buf);
            if (!reading) {
                ctx.flush();
            }
        }

        private boolean reading;

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
            reading = true;
            super.channelRead(ctx, message);
        }

        @Override
        public void channelReadComplete(ChannelHandlerContext ctx) throws Exception {
            reading = false;
            ctx.flush();
            super.channelReadComplete(ctx);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
