package cacheproxy.proxy.upstream;

import cacheproxy.eventlog.EventLog;
import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.invariant.Invariant;
import cacheproxy.invariant.InvariantListener;
import cacheproxy.invariant.InvariantMonitor;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.TimerWheel;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.process.PlatformConfig;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.MetaCodec;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;

/**
 * What all pools and fronts of one event loop share: the clock, timers, the servers with their connections, and the
 * bounds on values, descriptors and log lines. Used on that loop only.
 */
public final class EventLoopContext {
    private static final int MAX_LOG_LINES = 300;
    /** What the system may hold of a server's answer that is not being read. */
    private static final int RECEIVED = 64 << 10;
    /** A part of what the platform's command line lets buffers take; the rest is for what is being read and written. */
    private static final long MAX_VALUES = 10 << 20;

    private static final double CLOSES_PER_SECOND = 10;
    private static final double CLOSES_SAVED = 10;
    /** What of one long answer may wait for its client; the fewer there are the more, so that all have room. */
    private static final int MAX_STREAM = 64 << 10;

    private static final int MIN_STREAM = 8 << 10;
    private static final int MIN_STREAM_BYTES = 1 << 20;

    public final EventLoop loop;
    /** Off unless switched on; see {@link EventLog}. */
    public final EventLog events = EventLog.onStandardError(this::now);
    /** Counts what was stopped or violated; used on the loop. */
    public final InvariantMonitor invariants = new InvariantMonitor(new InvariantLog());

    public final UpstreamRegistry servers;
    private final PollClock polls;
    /** The clients' ids of requests that have no answer yet; as many as there are such requests. */
    public final Set<String> openIds = new HashSet<>();

    private final TimerWheel timers;
    private final ArrayDeque<Runnable> flushes = new ArrayDeque<>();
    private final Runnable flushAll = this::flushAll;
    private final Class<? extends Channel> upstream;
    private final double epochMs = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final long maxValueBytes;
    private final int maxUpstream;
    private final boolean gathers;
    private double closes = CLOSES_SAVED;
    private double closesAtMs;
    private int upstreamCount;
    /** Long answers on their way, and what may wait for their clients in all. */
    private int streams;

    private final long streamBytes;
    /** Long answers that are gathered whole, as their length was not told, and who waits to gather one. */
    private int bodies;

    private final int maxBodies;
    private final ArrayDeque<Runnable> wantBodies = new ArrayDeque<>();
    /** Written on the loop alone. */
    private volatile int logLines;

    private long valueBytes;

    /**
     * @param polls told of the loop's polls; a new one where it is not
     * @param upstream the kind of channel towards servers
     * @param maxValueBytes what clients' values in hand may take together
     * @param maxUpstream connections to all servers together
     * @param gathers whether a turn of the loop flushes once for all it writes. That saves CPU at high rates; a process
     *     with part of a core may be halted in the middle of a turn, and what it had to say with it
     */
    public EventLoopContext(
            EventLoop loop,
            PollClock polls,
            Class<? extends Channel> upstream,
            long maxValueBytes,
            int maxUpstream,
            boolean gathers) {
        this.gathers = gathers;
        this.loop = loop;
        this.polls = polls;
        this.upstream = upstream;
        this.maxValueBytes = maxValueBytes;
        this.maxUpstream = maxUpstream;
        streamBytes = Math.max(MIN_STREAM_BYTES, maxValueBytes / 2);
        maxBodies = (int) Math.max(1, maxValueBytes / MetaCodec.MAX_VALUE_BYTES);
        timers = new TimerWheel(loop, polls);
        servers = new UpstreamRegistry(this);
    }

    /** As the platform's configuration bounds it. */
    public static EventLoopContext of(
            EventLoop loop, PollClock polls, PlatformConfig config, Class<? extends Channel> upstream) {
        return new EventLoopContext(
                loop,
                polls,
                upstream,
                Math.min((long) config.memoryMb() << 20 >> 3, MAX_VALUES),
                config.maxSockets() / 3,
                false);
    }

    /** Unix time in milliseconds at the start, monotonic from there: list times need no conversion. */
    public double now() {
        return epochMs + (System.nanoTime() - startNanos) / 1e6;
    }

    /**
     * Since when what is read now may have waited unread, on the clock of {@link #now}. Called before anything else
     * that reads.
     */
    public double unreadSinceMs() {
        long nowNanos = System.nanoTime();
        return epochMs + (nowNanos - startNanos) / 1e6 - polls.unreadForMs(nowNanos);
    }

    /** Counts the loop's polls; 0 where they are not counted. */
    public long turn() {
        return polls.turn();
    }

    /** Whether this turn of the loop is that one or the next, in which what stood unread until then is read. */
    public boolean follows(long turn) {
        return polls.turn() > 0 && polls.turn() - turn <= 1;
    }

    /** An event is being handled: what comes later in this turn may have waited since then. */
    void handling() {
        polls.handling(System.nanoTime());
    }

    /** Has the loop do something often enough for {@link #unreadSinceMs} to know of pauses. Once, from any thread. */
    public void watchPauses() {
        loop.execute(this::beat);
    }

    private void beat() {
        after(PollClock.HEARTBEAT_MS, this::beat);
    }

    public Timer after(double ms, Runnable task) {
        return timers.after(ms, task);
    }

    /**
     * Runs once the events that the loop has in hand are done, where writes are gathered: what they write to one
     * connection goes out in one call of the system, not in one for each request. Each connection asks once, so there
     * are as many as those. Else at once.
     */
    public void flushLater(Runnable flush) {
        if (!gathers) {
            flush.run();
            return;
        }
        flushes.add(flush);
        if (flushes.size() == 1) {
            loop.execute(flushAll);
        }
    }

    private void flushAll() {
        for (int n = flushes.size(); n > 0; n--) {
            flushes.poll().run();
        }
        if (!flushes.isEmpty()) {
            loop.execute(flushAll);
        }
    }

    Bootstrap bootstrap(double connectTimeoutMs) {
        Bootstrap bootstrap = new Bootstrap()
                .group(loop)
                .channel(upstream)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeoutMs)
                .option(ChannelOption.RECVBUF_ALLOCATOR, Transport.reads());
        if (upstream == Transport.BEST.socket()) {
            // Once a server has ended its sending, Netty reads what has come to its end, also where reading is held
            // back
            // for a slow client. So no more than this may have come.
            bootstrap.option(ChannelOption.SO_RCVBUF, RECEIVED);
        }
        if (upstream == Transport.BEST.socket()) {
            bootstrap.option(ChannelOption.TCP_NODELAY, true);
        }
        return bootstrap;
    }

    /** Room for a client's value of this size; given back when its request is over. */
    public boolean reserve(int bytes) {
        if (valueBytes + bytes > maxValueBytes) {
            return false;
        }
        valueBytes += bytes;
        return true;
    }

    public void giveBack(int bytes) {
        valueBytes -= bytes;
    }

    /** A long answer begins. @return how many bytes of it may wait for its client */
    public int streamOpened() {
        streams++;
        return (int) Math.max(MIN_STREAM, Math.min(MAX_STREAM, streamBytes / streams));
    }

    public void streamClosed() {
        streams--;
    }

    /**
     * Runs once there is room for one more long answer that is gathered whole, perhaps at once. One waits a connection.
     */
    void gatherBody(Runnable granted) {
        if (bodies < maxBodies) {
            bodies++;
            granted.run();
        } else {
            wantBodies.add(granted);
        }
    }

    /** One that was granted is over. */
    void bodyDone() {
        Runnable next = wantBodies.poll();
        if (next == null) {
            bodies--;
        } else {
            loop.execute(next); // not from within the event that made the room
        }
    }

    /** Whether a connection may be closed for the sake of one attempt; where no second copies are allowed it must. */
    boolean mayClose(boolean secondCopies) {
        double now = now();
        closes = Math.min(CLOSES_SAVED, closes + (now - closesAtMs) / 1000 * CLOSES_PER_SECOND);
        closesAtMs = now;
        if (closes < 1 && secondCopies) {
            return false;
        }
        closes--;
        return true;
    }

    boolean roomUpstream() {
        return upstreamCount < maxUpstream;
    }

    void openedUpstream() {
        upstreamCount++;
    }

    void closedUpstream() {
        upstreamCount--;
    }

    public EventLoop loop() {
        return loop;
    }

    /** Adds one that is told of servers that refuse connections and of those that take them again. */
    public void observe(UpstreamRegistry.Observer observer) {
        servers.observe(observer);
    }

    /** The id of a request that has had its answer may come again. */
    public void closeId(ClientRequest command) {
        openIds.remove(command.id);
    }

    /** Whether a line would still be written; from any thread. */
    public boolean takesLines() {
        return logLines < MAX_LOG_LINES;
    }

    /** What was stopped is an event of many; a violation is a line of its own, whether or not the event log is on. */
    private final class InvariantLog implements InvariantListener {
        @Override
        public void stopped(Invariant invariant, String requestId, String reason) {
            if (events.isEnabled()) {
                events.line(ProxyEvent.ACTION_STOPPED)
                        .with("id", requestId)
                        .with("invariant", invariant.label())
                        .with("reason", reason)
                        .write();
            }
        }

        @Override
        public void violated(Invariant invariant, String requestId, String reason) {
            log("invariant violated: " + invariant.label() + ", request " + requestId + ": " + reason);
            if (events.isEnabled()) {
                events.line(ProxyEvent.INVARIANT_VIOLATED)
                        .with("id", requestId)
                        .with("invariant", invariant.label())
                        .with("reason", reason)
                        .write();
            }
        }
    }

    /** A line on standard error; their number is bounded. */
    @SuppressWarnings("NonAtomicVolatileUpdate") // written on the event loop alone
    public void log(String line) {
        if (takesLines()) {
            logLines = logLines + 1;
            System.err.println(line.getBytes(StandardCharsets.UTF_8).length > 500 ? line.substring(0, 500) : line);
        }
    }
}
