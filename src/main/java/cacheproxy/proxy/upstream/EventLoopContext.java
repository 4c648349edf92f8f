package cacheproxy.proxy.upstream;

import cacheproxy.eventlog.EventLog;
import cacheproxy.invariant.InvariantMonitor;
import cacheproxy.proxy.memory.MemoryAccount;
import cacheproxy.proxy.memory.MemoryPurpose;
import cacheproxy.proxy.memory.RecentMaximum;
import cacheproxy.proxy.net.EventLoopClock;
import cacheproxy.proxy.net.FaultMonitor;
import cacheproxy.proxy.net.FlushBatcher;
import cacheproxy.proxy.net.LoadStatistics;
import cacheproxy.proxy.net.PollClock;
import cacheproxy.proxy.net.ReceiveQueue;
import cacheproxy.proxy.net.StandardErrorLog;
import cacheproxy.proxy.net.TimerWheel;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.net.TurnScheduler;
import cacheproxy.proxy.request.MetaCodec;
import cacheproxy.proxy.request.RequestAccounting;
import cacheproxy.proxy.request.RequestIds;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;

/**
 * The state that all pools and listeners of one event loop share: its clock and timers, its logs, the servers with
 * their connections, the ids of open requests, and the limits on memory and connections. Each concern has its own type;
 * this class combines them. Used on that event loop only, unless a method states otherwise.
 */
public final class EventLoopContext implements RequestAccounting {
    private final EventLoop loop;
    private final EventLog events = EventLog.onStandardError(this::nowMs);

    private final StandardErrorLog errors = new StandardErrorLog();
    private final FaultMonitor faults = new FaultMonitor(errors::write);
    private final InvariantMonitor invariants = new InvariantMonitor(new InvariantEventLog(events, errors));

    private final UpstreamRegistry servers;

    private final EventLoopClock clock;
    private final TimerWheel timers;
    private final FlushBatcher flushBatcher;
    private final TurnScheduler turns;
    private final ReceiveQueue receiveQueue = new ReceiveQueue();
    private final LoadStatistics load;
    private final RequestIds requestIds = new RequestIds();

    private final MemoryAccount memory;
    private final RecentMaximum recentValueBytes = new RecentMaximum(MetaCodec.MAX_BUFFERED_VALUE_BYTES);
    private final StreamBudget streamBudget;
    private final BufferBudget unknownLengthBudget;
    private final BufferBudget heldValueBudget;
    private final ConnectionCloseLimiter closeLimiter = new ConnectionCloseLimiter();
    private final UpstreamBootstraps bootstraps;
    private final int maxServerConnections;
    private int serverConnections;

    /**
     * Creates the context of an event loop that has none yet.
     *
     * @param polls the clock to which the loop reports its polls; a new one if it reports none
     * @param serverChannels the type of channels to servers
     */
    public EventLoopContext(
            EventLoop loop, PollClock polls, Class<? extends Channel> serverChannels, EventLoopLimits limits) {
        this.loop = loop;
        clock = new EventLoopClock(polls);
        timers = new TimerWheel(loop, polls, faults);
        turns = new TurnScheduler(loop, polls, faults);
        load = new LoadStatistics(polls, turns);
        flushBatcher = new FlushBatcher(loop, limits.batchFlushes());
        memory = new MemoryAccount(loop, limits.memory());
        streamBudget = new StreamBudget(limits.maxValueBytes());
        unknownLengthBudget = new BufferBudget(memory, MemoryPurpose.UNKNOWN_LENGTH_BODY);
        heldValueBudget = new BufferBudget(memory, MemoryPurpose.HELD_VALUE);
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

    /**
     * The earliest time since when data that is read now may have been waiting. Must be called before any other method
     * that reads.
     */
    public double unreadSinceMs() {
        return clock.unreadSinceMs();
    }

    /** The number of the loop's polls so far; 0 if they are not counted. */
    public long turn() {
        return clock.turn();
    }

    /**
     * Returns whether this turn of the loop is the given one or the next, which reads the data that was unread until
     * then.
     */
    public boolean isTurnOrNext(long turn) {
        return clock.isTurnOrNext(turn);
    }

    /**
     * Returns whether the end of a connection may have gone unnoticed for long, because the loop has been busy or
     * paused.
     */
    public boolean isBehind() {
        return clock.isBehind();
    }

    /** Records that an event is being handled: data that is read later in this turn may have been waiting since now. */
    void handling() {
        clock.recordEventHandling();
    }

    /**
     * Wakes the loop often enough for {@link #unreadSinceMs} to detect pauses. Must be called once, from any thread.
     */
    public void startHeartbeat() {
        loop.execute(this::heartbeat);
    }

    private void heartbeat() {
        after(PollClock.HEARTBEAT_MS, this::heartbeat);
    }

    /** Runs the task after this delay, in milliseconds; see {@link TimerWheel#after}. */
    public Timer after(double ms, Runnable task) {
        return timers.after(ms, task);
    }

    /** Runs the flush at once, or at the end of this turn where flushes are batched; see {@link FlushBatcher}. */
    public void flushLater(Runnable flush) {
        flushBatcher.flushLater(flush);
    }

    /** Shares each turn of the loop between clients; see {@link TurnScheduler}. */
    public TurnScheduler turns() {
        return turns;
    }

    /** Reads from connections right before they are ended. */
    public ReceiveQueue receiveQueue() {
        return receiveQueue;
    }

    /** What operators are told about the load of the loop. */
    public LoadStatistics load() {
        return load;
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

    /** Counts and logs exceptions and errors that were not expected. */
    public FaultMonitor faults() {
        return faults;
    }

    /** Writes a line to standard error, unless too many have been written. */
    public void log(String line) {
        errors.write(line);
    }

    /** Whether a line would still be written; from any thread. */
    public boolean acceptsLines() {
        return errors.acceptsLines();
    }

    // ---- open requests

    /** Records that a request is open; returns false if another request with the same id is open or may have run. */
    @Override
    public boolean openId(String id) {
        return requestIds.open(id);
    }

    /** Records that the request with this id has its response, so that the id can be used again. */
    public void closeId(String id) {
        requestIds.close(id);
    }

    /** Records that the request may take effect although its client has left; its id can't be used again. */
    public void retireId(String id) {
        requestIds.retire(id);
    }

    // ---- memory

    /** The account of all memory that is held for clients. */
    public MemoryAccount memory() {
        return memory;
    }

    /** Describes the memory that is held for clients, a line for each purpose, and the number of faults. */
    public String memorySummary() {
        return memory.summary() + "\nfaults=" + faults.count();
    }

    /** The lengths of the values that were received last, up to the longest that is buffered whole. */
    public RecentMaximum recentValueBytes() {
        return recentValueBytes;
    }

    /**
     * Reserves memory for the value of a write, which must be given back once; returns false if there is not enough.
     */
    public boolean reserve(int bytes) {
        return memory.reserve(MemoryPurpose.WRITE_VALUE, bytes);
    }

    /** Gives back reserved memory. */
    @Override
    public void releaseReservedBytes(int bytes) {
        memory.release(MemoryPurpose.WRITE_VALUE, bytes);
    }

    /** Records that a streamed response begins. Returns how many of its bytes may wait for its client. */
    public int openStream() {
        return streamBudget.openStream();
    }

    /** Records that a streamed response has ended. */
    public void closeStream() {
        streamBudget.closeStream();
    }

    /** The budget for long bodies that are buffered because their length was not announced. */
    BufferBudget unknownLengthBudget() {
        return unknownLengthBudget;
    }

    /** The budget for long values that are held until they are whole, as other responses wait behind them. */
    public BufferBudget heldValueBudget() {
        return heldValueBudget;
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

    /** Creates a bootstrap without a handler and an address. */
    Bootstrap bootstrap(double connectTimeoutMs) {
        return bootstraps.create(connectTimeoutMs);
    }

    /** Whether one more connection to a server may be opened. */
    boolean mayOpenConnection() {
        return serverConnections < maxServerConnections;
    }

    /** Records that a connection to a server is being opened. */
    void connectionOpened() {
        serverConnections++;
    }

    /** Records that a connection to a server has closed or could not be established. */
    void connectionClosed() {
        serverConnections--;
    }

    /** Whether a connection may be closed to abandon one attempt; see {@link ConnectionCloseLimiter#mayClose}. */
    boolean mayClose(boolean hedgingAllowed) {
        return closeLimiter.mayClose(nowMs(), hedgingAllowed);
    }

    /** Whether a connection with so many attempts may be closed; see {@link ConnectionCloseLimiter#mayCutOff}. */
    boolean mayCutOff(int attempts) {
        return closeLimiter.mayCutOff(nowMs(), attempts);
    }
}
