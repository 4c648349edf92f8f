package cacheproxy.proxy.upstream;

import cacheproxy.eventlog.EventLog;
import cacheproxy.invariant.InvariantMonitor;
import cacheproxy.proxy.net.EventLoopClock;
import cacheproxy.proxy.net.FlushBatcher;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.StandardErrorLog;
import cacheproxy.proxy.net.TimerWheel;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.request.RequestAccounting;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.HashSet;
import java.util.Set;

/**
 * What all pools and listeners of one event loop share: its clock and timers, its logs, the servers with their
 * connections, the ids of open requests, and the limits on memory and connections. Each concern has a type of its own;
 * this one holds them together. Used on that event loop only, unless a method says otherwise.
 */
public final class EventLoopContext implements RequestAccounting {
    private final EventLoop loop;
    private final EventLog events = EventLog.onStandardError(this::nowMs);

    private final StandardErrorLog errors = new StandardErrorLog();
    private final InvariantMonitor invariants = new InvariantMonitor(new InvariantEventLog(events, errors));

    private final UpstreamRegistry servers;

    private final EventLoopClock clock;
    private final TimerWheel timers;
    private final FlushBatcher flushBatcher;
    /** The clients' ids of requests that have no response yet. */
    private final Set<String> openRequestIds = new HashSet<>();

    private final ByteBudget valueBudget;
    private final StreamBudget streamBudget;
    private final BufferedBodyLimit bufferedBodyLimit;
    private final ConnectionCloseLimiter closeLimiter = new ConnectionCloseLimiter();
    private final UpstreamBootstraps bootstraps;
    private final int maxServerConnections;
    private int serverConnections;

    /**
     * Creates the context of an event loop that has none yet.
     *
     * @param polls to which the loop reports its polls, or a new one if it does not
     * @param serverChannels the type of channels to servers
     */
    public EventLoopContext(
            EventLoop loop, PollClock polls, Class<? extends Channel> serverChannels, EventLoopLimits limits) {
        this.loop = loop;
        clock = new EventLoopClock(polls);
        timers = new TimerWheel(loop, polls);
        flushBatcher = new FlushBatcher(loop, limits.batchFlushes());
        valueBudget = new ByteBudget(limits.maxValueBytes());
        streamBudget = new StreamBudget(limits.maxValueBytes());
        bufferedBodyLimit = new BufferedBodyLimit(loop, limits.maxValueBytes());
        bootstraps = new UpstreamBootstraps(loop, serverChannels);
        maxServerConnections = limits.maxServerConnections();
        servers = new UpstreamRegistry(this);
    }

    /** The event loop. */
    public EventLoop loop() {
        return loop;
    }

    // ---- time

    /** The time in milliseconds; see {@link EventLoopClock}. From any thread. */
    @Override
    public double nowMs() {
        return clock.nowMs();
    }

    /** Since when data read now may have waited unread. To be called before anything else that reads. */
    public double unreadSinceMs() {
        return clock.unreadSinceMs();
    }

    /** The number of the loop's polls so far; 0 if they are not counted. */
    public long turn() {
        return clock.turn();
    }

    /** Whether this turn of the loop is the given one or the next, which reads what was unread until then. */
    public boolean isTurnOrNext(long turn) {
        return clock.isTurnOrNext(turn);
    }

    /** Whether the end of a connection may have gone unnoticed for long, as the loop has been busy or paused. */
    public boolean isBehind() {
        return clock.isBehind();
    }

    /** An event is handled: what is read later in this turn may have waited since now. */
    void handling() {
        clock.recordEventHandling();
    }

    /** Wakes the loop often enough for {@link #unreadSinceMs} to notice pauses. To be called once, from any thread. */
    public void startHeartbeat() {
        loop.execute(this::heartbeat);
    }

    private void heartbeat() {
        after(PollClock.HEARTBEAT_MS, this::heartbeat);
    }

    /** Runs the task after this time, in milliseconds; see {@link TimerWheel#after}. */
    public Timer after(double ms, Runnable task) {
        return timers.after(ms, task);
    }

    /** Runs the flush at once, or at the end of this turn where flushes are batched; see {@link FlushBatcher}. */
    public void flushLater(Runnable flush) {
        flushBatcher.flushLater(flush);
    }

    // ---- logs

    /** The log of requests' events; disabled unless {@linkplain EventLog#enable enabled}. */
    public EventLog events() {
        return events;
    }

    /** Counts and logs the actions that an invariant stopped, and violations. */
    public InvariantMonitor invariants() {
        return invariants;
    }

    /** Writes a line to standard error, unless there have been too many. */
    public void log(String line) {
        errors.write(line);
    }

    /** Whether a line would still be written; from any thread. */
    public boolean acceptsLines() {
        return errors.acceptsLines();
    }

    // ---- open requests

    /** Records that a request is open; false if another with the same id is. */
    @Override
    public boolean openId(String id) {
        return openRequestIds.add(id);
    }

    /** The request with this id has its response: the id may be used again. */
    public void closeId(String id) {
        openRequestIds.remove(id);
    }

    // ---- memory

    /** Reserves memory for the value of a write, to be given back once; or returns false if there is too little. */
    public boolean reserve(int bytes) {
        return valueBudget.reserve(bytes);
    }

    /** Gives back reserved memory. */
    @Override
    public void releaseReservedBytes(int bytes) {
        valueBudget.release(bytes);
    }

    /** A streamed response begins. Returns how many bytes of it may wait for its client. */
    public int openStream() {
        return streamBudget.openStream();
    }

    /** A streamed response has ended. */
    public void closeStream() {
        streamBudget.closeStream();
    }

    /** The limit on bodies that are buffered whole. */
    BufferedBodyLimit bufferedBodyLimit() {
        return bufferedBodyLimit;
    }

    // ---- connections to servers

    /** The servers of all pools of this event loop. */
    public UpstreamRegistry servers() {
        return servers;
    }

    /** Adds an observer of servers that refuse connections, and of those that accept them again. */
    public void addServerObserver(UpstreamRegistry.Observer observer) {
        servers.addObserver(observer);
    }

    /** Creates a bootstrap that lacks the handler and the address. */
    Bootstrap bootstrap(double connectTimeoutMs) {
        return bootstraps.create(connectTimeoutMs);
    }

    /** Whether one more connection to a server may be opened. */
    boolean mayOpenConnection() {
        return serverConnections < maxServerConnections;
    }

    /** A connection to a server is being opened. */
    void connectionOpened() {
        serverConnections++;
    }

    /** A connection to a server has been closed, or did not come up. */
    void connectionClosed() {
        serverConnections--;
    }

    /** Whether a connection may be closed to abandon one attempt; see {@link ConnectionCloseLimiter#mayClose}. */
    boolean mayClose(boolean hedgingAllowed) {
        return closeLimiter.mayClose(nowMs(), hedgingAllowed);
    }
}
