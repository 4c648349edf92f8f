package cacheproxy.proxy.dispatch;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.invariant.Invariant;
import cacheproxy.invariant.SendGuard;
import cacheproxy.placement.AdmissionControl;
import cacheproxy.placement.CarpPlacement;
import cacheproxy.placement.PlacementFactory;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.AttemptResult;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.EndpointState;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.PolicyActions;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.policy.RoutingRequest;
import cacheproxy.policy.ServiceClass;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.discovery.EndpointListConsumer;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.discovery.PeerSocket;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.process.PlatformConfig;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.upstream.Attempt;
import cacheproxy.proxy.upstream.ConnectionLimits;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.PoolProtocol;
import cacheproxy.proxy.upstream.Upstream;
import cacheproxy.siblings.Siblings;
import cacheproxy.snapshot.state.LearnedState;
import io.netty.buffer.ByteBuf;
import io.netty.util.collection.IntObjectHashMap;
import io.netty.util.collection.IntObjectMap;
import java.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntConsumer;

/**
 * The one caller of a pool's decision module and the one that carries its orders out. Keeps what requests and attempts
 * are in: an attempt ends once, a request is answered once. All of it runs on the event loop; the module is never
 * called from within one of its own orders, what happens meanwhile waits in line.
 */
public final class Dispatcher implements PolicyActions, EndpointListConsumer {
    /** What a request that the module left unanswered at its due time may still wait for it. */
    private static final double OVERDUE_MS = 10;
    /** What a test of a server takes at the most, ms. */
    public static final double PROBE_TIMEOUT_MS = 250;

    private static final long SWEEP_MS = 1000;

    private final EventLoopContext core;
    private final Pool pool;
    private final PolicySettings settings;
    private final SendGuard sendGuard;
    private final PoolProtocol protocol;
    private final IntObjectHashMap<RequestContext> exchanges = new IntObjectHashMap<>();
    private final IntObjectHashMap<Upstream> upstreams = new IntObjectHashMap<>();
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private RoutingPolicy module;
    private EndpointListSource discovery;
    /** Null where nothing is remembered, and once it has been asked. */
    private Recollections recollections;

    private Siblings siblings = Siblings.NONE;
    private Questions questions = Questions.NONE;
    /** Null: it makes them itself. */
    private Probes probes;

    private PeerSocket peers;
    private Future<?> sweeper;
    private boolean busy;
    private boolean stopped;
    private int nextId;

    /** What an earlier instance has learned of these servers; asked once, with the first list that has a server. */
    public interface Recollections {
        LearnedState of(double now, List<DiscoveryClient.Host> servers);
    }

    /** Where the module's questions to siblings go, and what is known of what servers hold. */
    public interface Questions {
        /**
         * Asks about a key; {@code answer} is told of the first sibling that has it, or of 0, on the loop, at most
         * once.
         */
        void ask(String key, double waitMs, IntConsumer answer);

        /** The class under which a sibling takes requests; null: the server is none. */
        String classAt(int server);

        /** A server has answered a read; {@code has}: with a value. */
        void read(String key, int server, boolean has);

        /** A write has been sent: what servers have of the key may be old. */
        void written(String key);

        Questions NONE = new Questions() {
            @Override
            public void ask(String key, double waitMs, IntConsumer answer) {}

            @Override
            public String classAt(int server) {
                return null;
            }

            @Override
            public void read(String key, int server, boolean has) {}

            @Override
            public void written(String key) {}
        };
    }

    /** Where the module's tests of servers go. */
    public interface Probes {
        /** Whether the test of a server is taken over: then {@link Dispatcher#probed} is to tell of its end. */
        boolean take(int server);

        /** An attempt of a request at a server has ended. */
        default void ended(int server, AttemptOutcome outcome) {}
    }

    /**
     * A pool's fixed figures.
     *
     * @param stockServers whether cache servers are stock ones, which give no receipts and no ids with a miss
     */
    public record Pool(
            PolicySettings settings,
            long seed,
            ConnectionLimits connections,
            boolean stockServers,
            PlacementFactory placements,
            AdmissionControl admission) {

        /** The platform's one pool. Servers accept some forty connections each, for all proxies together. */
        public static Pool of(PlatformConfig config) {
            int proxies = Math.max(1, config.settings().instanceCount());
            return new Pool(
                    config.settings(),
                    config.seed(),
                    new ConnectionLimits(
                            config.settings().connectTimeoutMs(),
                            config.idleCloseMs(),
                            Math.max(1, Math.min(4, 28 / proxies)),
                            Math.max(4, Math.min(48, 240 / proxies)),
                            Math.max(1, 28 / proxies),
                            config.streamsPerConnection()),
                    false,
                    CarpPlacement::new,
                    AdmissionControl.UNLIMITED);
        }
    }

    public Dispatcher(EventLoopContext core, Pool pool) {
        this.core = core;
        this.pool = pool;
        settings = pool.settings();
        sendGuard = new SendGuard(settings.drainGraceMs());
        protocol = new PoolProtocol(pool.stockServers(), settings.loadReportSource(), settings.loadReportFields());
    }

    /** Starts the module; discovery and peers come to be used from here on. */
    public void start(EndpointListSource source) {
        start(source, null);
    }

    public void start(EndpointListSource source, PeerSocket socket) {
        discovery = source;
        peers = socket;
        module = new RoutingPolicy(settings, pool.seed(), pool.placements(), pool.admission(), siblings);
        sweeper = core.loop.scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    /** Hands the module what is remembered, once it knows its servers. Before the first list. */
    public void recall(Recollections from) {
        recollections = from;
    }

    /** Lets the module ask siblings. Before the start. */
    public void siblings(Siblings decisions, Questions to) {
        siblings = decisions;
        questions = to;
    }

    /** Others may test servers for this pool. Before the start. */
    public void probes(Probes to) {
        probes = to;
    }

    String classAt(int server) {
        return questions.classAt(server);
    }

    /** Whether siblings may be told that a server has a value. */
    public boolean sound(int server) {
        return module.isHealthy(core.now(), server);
    }

    /** Whether some cache server is sound, or there is none. */
    public boolean reachesAny() {
        boolean none = true;
        for (IntObjectMap.PrimitiveEntry<Upstream> e : upstreams.entries()) {
            if (!e.value().origin) {
                if (sound(e.key())) {
                    return true;
                }
                none = false;
            }
        }
        return none;
    }

    /** Whether there is more to do than is done in time. */
    public boolean pressed() {
        return module.isOverloaded(core.now());
    }

    /** What the module has learned, with at most so many hot keys. */
    public LearnedState knowledge(int mostKeys) {
        return module.learnedState(core.now(), mostKeys);
    }

    /** Where a server stands; null: it is not on the list. */
    public SocketAddress dial(int server) {
        Upstream u = upstreams.get(server);
        return u == null ? null : u.dial;
    }

    /** Ends at once. Connections to servers that no other pool holds are closed. */
    public void stop() {
        stopped = true;
        discovery.close();
        sweeper.cancel(false);
        for (Integer id : List.copyOf(upstreams.keySet())) {
            Upstream u = upstreams.remove(id);
            if (u.holders == 1) {
                u.close();
            }
            core.servers.release(u);
        }
    }

    /** Answers every request that has no answer and none on its way: the process is to end before its deadline. */
    public void answerAll() {
        for (RequestContext x : List.copyOf(exchanges.values())) {
            boolean harmless = settings.classes().get(x.command.serviceClass).idempotency() == Idempotency.IDEMPOTENT
                    || !x.mayHaveRun();
            finish(x, harmless ? 0 : Double.NaN);
        }
    }

    PoolProtocol protocol() {
        return protocol;
    }

    boolean hedgingAllowed() {
        return settings.hedgingAllowed();
    }

    @Override
    public PolicySettings settings() {
        return settings;
    }

    /** For random choices of who acts for this pool. */
    @Override
    public long seed() {
        return pool.seed();
    }

    /** Whether a list has come that has a server. */
    public boolean listed() {
        return !upstreams.isEmpty();
    }

    /** Requests in hand. */
    public int inHand() {
        return exchanges.size();
    }

    private void sweep() {
        double now = core.now();
        core.servers.sweep(upstreams.values(), now, now - pool.connections().retireIdleMs());
    }

    // ---- calls of the module

    private void tell(Runnable call) {
        if (stopped) {
            return;
        }
        if (busy) {
            waiting.add(call);
            return;
        }
        busy = true;
        try {
            for (Runnable r = call; r != null; r = waiting.poll()) {
                try {
                    r.run();
                } catch (RuntimeException e) {
                    fault(e);
                }
            }
        } finally {
            busy = false;
        }
    }

    private void fault(RuntimeException e) {
        StackTraceElement[] trace = e.getStackTrace();
        log("fault: " + e + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    /** A module that fails on a request must not take others with it: this one ends as failed. */
    private void guard(RequestContext x, Runnable call) {
        try {
            call.run();
        } catch (RuntimeException e) {
            fault(e);
            finish(x, Double.NaN);
        }
    }

    @Override
    public void listed(EndpointListKind kind, List<DiscoveryClient.Host> hosts) {
        for (DiscoveryClient.Host h : hosts) {
            int id = h.member().id();
            Upstream u = upstreams.get(id);
            if (core.events.isEnabled()
                    && (u == null
                            || u.state != h.member().state()
                            || u.bornMs != h.member().startedMs())) {
                core.events
                        .line(ProxyEvent.SERVER_LISTED)
                        .with("server", Integer.toHexString(id) + "@" + h.dial())
                        .with("state", h.member().state())
                        .with("born_ms", (long) h.member().startedMs())
                        .with("list", kind)
                        .write();
            }
            if (h.member().state() == EndpointState.GONE) {
                forget(id);
                continue;
            }
            boolean origin = settings.cacheAside() && h.member().kind() == settings.originKind();
            if (u != null && !u.dial.equals(h.dial())) {
                forget(id);
                u = null;
            }
            if (u == null) {
                u = core.servers.hold(id, origin, h.dial(), pool.connections());
                upstreams.put(id, u);
            }
            if (u.bornMs != h.member().startedMs()) {
                u.retire();
            }
            u.bornMs = h.member().startedMs();
            u.state = h.member().state();
            u.leftMs = u.state == EndpointState.READY ? Double.POSITIVE_INFINITY : Math.min(u.leftMs, core.now());
        }
        if (kind == EndpointListKind.FULL || kind == EndpointListKind.CACHED) {
            Set<Integer> named = new HashSet<>();
            hosts.forEach(h -> named.add(h.member().id()));
            for (Integer id : List.copyOf(upstreams.keySet())) {
                if (!named.contains(id)) {
                    forget(id);
                }
            }
        }
        tell(() -> module.onEndpointList(
                core.now(),
                kind,
                hosts.stream().map(DiscoveryClient.Host::member).toList(),
                this));
        if (recollections != null && listed()) {
            Recollections from = recollections;
            recollections = null;
            tell(() -> module.restore(core.now(), from.of(core.now(), hosts)));
        }
    }

    private void forget(int id) {
        Upstream u = upstreams.remove(id);
        if (u != null) {
            u.leftMs = Math.min(u.leftMs, core.now());
            core.servers.release(u);
        }
    }

    public void heard(int peer, byte[] message) {
        tell(() -> module.onPeerMessage(core.now(), peer, message, this));
    }

    /** Takes a request; it will be answered once. */
    public void take(RequestContext x) {
        ClientRequest c = x.command;
        x.id = ++nextId;
        exchanges.put(x.id, x);
        double now = core.now();
        RoutingRequest request = new RoutingRequest(
                x.id,
                c.serviceClass,
                c.tenant,
                x.keyNumber,
                x.dueMs,
                c.workHintMs,
                c.sizeHintBytes,
                c.isWrite,
                c.isRetry);
        // Before the module's own timer for the same time: a silent server's attempt ends as a time-out then.
        x.timer = core.after(x.dueMs - now, () -> due(x));
        if (core.events.isEnabled()) {
            core.events
                    .line(ProxyEvent.REQUEST_RECEIVED)
                    .with("id", c.id)
                    .with("class", settings.classes().get(c.serviceClass).name())
                    .withMs("left_ms", x.dueMs - now)
                    .write();
        }
        tell(() -> guard(x, () -> module.onRequest(now, request, this)));
    }

    private void due(RequestContext x) {
        for (int i = 0; i < x.attempts.size() && !x.streaming; i++) {
            expire(x.attempts.get(i));
        }
        x.timer = core.after(OVERDUE_MS, () -> {
            if (!x.over && !x.streaming) {
                log("request left unanswered by the module");
                finish(x, Double.NaN);
            }
        });
    }

    private void expire(Attempt a) {
        if (!a.hasEnded()) {
            if (a.connection() != null) {
                boolean unsent = a.connection().giveUp(a);
                a.onEnd(unsent ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.TIMEOUT);
            } else {
                a.onEnd(AttemptOutcome.NOT_SENT);
            }
        }
    }

    /**
     * The request's client has left: none of its attempts begins from now on, whatever the module has to say. What is
     * on its way may have to end for others that wait for it, and does so at its deadline.
     */
    void gone(RequestContext x) {
        if (x.over) {
            return;
        }
        over(x);
        if (core.events.isEnabled()) {
            core.events
                    .line(ProxyEvent.REQUEST_ABANDONED)
                    .with("id", x.command.id)
                    .withMs("left_ms", x.dueMs - core.now())
                    .with("in_flight", x.out)
                    .write();
        }
        tell(() -> module.onClientGone(core.now(), x.id, this));
        for (RequestAttempt a : x.attempts) {
            if (a.hasEnded() || a.connection() == null) {
                continue;
            }
            if (!a.hasBegun()) {
                withdraw(a);
            } else if (a.firstByteMs != 0) { // the rest of a long value is of no use to anyone
                a.connection().giveUp(a);
                a.onEnd(AttemptOutcome.CANCELLED);
            } else if (a.timer == null) {
                a.timer = core.after(x.dueMs - core.now(), () -> expire(a));
            }
        }
        free(x);
    }

    // ---- ends of attempts

    /** The one end of an attempt. A value or receipt, where there is one, is the client's if none has come before. */
    public void end(RequestAttempt a, AttemptOutcome outcome, int note, float[] report, ByteBuf value, String receipt) {
        if (a.hasEnded()) {
            if (value != null) {
                value.release();
            }
            return;
        }
        a.end(outcome);
        stop(a.timer);
        double elapsed = (a.firstByteMs != 0 ? a.firstByteMs : core.now()) - a.startedMs();
        RequestContext x = a.context;
        x.out--;
        x.lastOutcome = outcome;
        if (core.events.isEnabled()) {
            core.events
                    .line(ProxyEvent.ATTEMPT_ENDED)
                    .with("id", x.command.id)
                    .with("n", a.index())
                    .with("server", name(a.server()))
                    .with("outcome", outcome)
                    .with("begun", a.hasBegun())
                    .with("written", a.isWritten())
                    .withMs("ms", elapsed)
                    .write();
        }
        if (a.firstByteMs != 0) {
            over(x);
            logAnswer(x, outcome == AttemptOutcome.OK ? "streamed" : "cut");
            if (outcome == AttemptOutcome.OK) {
                x.responder.endValue();
            } else {
                x.responder.abortValue();
            }
        } else if (outcome == AttemptOutcome.OK && !x.over && !x.streaming) {
            over(x);
            logAnswer(x, "served");
            if (value != null) {
                x.responder.value(value);
            } else {
                x.responder.stored(receipt);
            }
        } else if (value != null) {
            value.release();
        }
        if (questions != Questions.NONE) {
            tellSiblings(a, x.command, outcome);
        }
        if (probes != null) {
            probes.ended(a.server(), outcome);
        }
        x.missed |= outcome == AttemptOutcome.MISS;
        x.mayHaveRun |= outcome.mayHaveRun();
        boolean over = x.over;
        tell(() -> guard(
                x,
                () -> module.onAttemptEnd(
                        core.now(),
                        new AttemptResult(x.id, a.index(), a.server(), outcome, elapsed, over, note, report),
                        this)));
        free(x);
    }

    /** An attempt's first byte is about to go out. */
    void logStart(RequestAttempt a) {
        if (!core.events.isEnabled()) {
            return;
        }
        RequestContext x = a.context;
        String cause = a.index() == 0 ? "first" : x.out > 1 ? "hedge" : "after_" + x.lastOutcome;
        core.events
                .line(ProxyEvent.ATTEMPT_STARTED)
                .with("id", x.command.id)
                .with("n", a.index())
                .with("server", a.connection().name())
                .with("cause", cause)
                .withMs("left_ms", a.timeoutAtMs() - core.now())
                .withMs("client_left_ms", x.dueMs - core.now())
                .withMs("queued_ms", core.now() - a.startedMs())
                .with("depth", a.connection().queueLength())
                .write();
    }

    /** The cause of a refusal or failure is what the last attempt ended with, if there was one. */
    private void logAnswer(RequestContext x, String kind) {
        if (core.events.isEnabled()) {
            core.events
                    .line(ProxyEvent.REQUEST_ANSWERED)
                    .with("id", x.command.id)
                    .with("kind", kind)
                    .with("attempts", x.attempts.size())
                    .with("cause", x.lastOutcome == null ? "not_sent_on" : x.lastOutcome)
                    .withMs("left_ms", x.dueMs - core.now())
                    .write();
        }
    }

    /** How a server is named in the log: its address, or its number once it is off the list. */
    private String name(int server) {
        Upstream u = upstreams.get(server);
        return u == null ? Integer.toHexString(server) : Integer.toHexString(server) + "@" + u.dial;
    }

    private void tellSiblings(RequestAttempt a, ClientRequest c, AttemptOutcome outcome) {
        Upstream u = upstreams.get(a.server());
        if (c.isWrite) {
            questions.written(c.key);
        } else if (u != null && !u.origin && (outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MISS)) {
            questions.read(c.key, a.server(), outcome == AttemptOutcome.OK);
        }
    }

    /** A long answer begins; false if the request is over or another answer has begun. */
    public boolean begin(RequestAttempt a, int length) {
        RequestContext x = a.context;
        if (a.hasEnded() || x.over || x.streaming) {
            return false;
        }
        x.streaming = true;
        a.firstByteMs = core.now();
        stop(x.timer);
        stop(a.timer);
        x.responder.beginValue(length, a.connection());
        tell(() -> module.onFirstByte(core.now(), x.id, a.index(), a.server(), this));
        for (RequestAttempt other : x.attempts) {
            if (other != a) {
                cancelAttempt(x.id, other.index());
            }
        }
        return true;
    }

    public void part(RequestAttempt a, ByteBuf part) {
        if (a.hasEnded() || a.context.over) {
            part.release();
        } else {
            a.context.responder.valuePart(part);
        }
    }

    private void over(RequestContext x) {
        x.over = true;
        if (x.holdsId) {
            core.closeId(x.command.id);
        }
        stop(x.timer);
    }

    /** The final answer where no server gave it: a refusal with its advice, or NaN for a failure. */
    private void finish(RequestContext x, double retryAfterMs) {
        if (x.over || x.streaming) {
            return;
        }
        over(x);
        if (Double.isNaN(retryAfterMs)) {
            logAnswer(x, "failed");
            x.responder.failed();
        } else if (x.missed && !settings.cacheAside()) {
            logAnswer(x, "missed");
            x.responder.miss();
        } else {
            logAnswer(x, "refused");
            x.responder.busy(retryAfterMs >= 1 && settings.retryAfterAllowed() ? retryAfterMs : 0);
        }
        free(x);
    }

    /** Lets go of a request that is over once its last attempt has ended: cancels look it up until then. */
    private void free(RequestContext x) {
        if (!x.over || x.out > 0) {
            return;
        }
        if (exchanges.remove(x.id) != null) { // ids are ever new: what stayed here would stay for good
            x.command.release(core);
        }
    }

    // ---- the module's orders

    @Override
    public void sendAttempt(int request, int server, double timeoutMs) {
        RequestContext x = exchanges.get(request);
        if (x == null || x.over) {
            log("order for a request that is over");
            return;
        }
        double now = core.now();
        double left = x.dueMs - now;
        double wait = timeoutMs == 0 ? left : Math.min(timeoutMs, left);
        RequestAttempt a = new RequestAttempt(x, x.attempts.size(), server, now, now + wait);
        x.attempts.add(a);
        x.out++;
        Upstream u = upstreams.get(server);
        if (u == null || wait <= 0 || a.index() >= settings.maxAttempts()) {
            tell(() -> a.onEnd(AttemptOutcome.NOT_SENT));
            return;
        }
        if (wait < left) {
            a.timer = core.after(wait, () -> expire(a));
        }
        boundRepeat(x, a);
        if (!u.send(a)) { // want of room on our side says nothing against a sound node
            tell(() -> a.onEnd(u.origin ? AttemptOutcome.CONNECT_FAILED : AttemptOutcome.NOT_SENT));
        }
    }

    /**
     * The module lets a keyed request be repeated within its class's window. A repeat may then wait for a connection
     * that comes up late, and is not to go out once the window is over.
     */
    private void boundRepeat(RequestContext x, RequestAttempt a) {
        ServiceClass kind = settings.classes().get(x.command.serviceClass);
        if (kind.idempotency() != Idempotency.DEDUPLICATED) {
            return;
        }
        for (RequestAttempt earlier : x.attempts) {
            if (earlier != a && earlier.hasBegun()) {
                a.beginByMs = Math.min(
                        a.beginByMs, SendGuard.retryUntilMs(earlier.startedMs(), kind.deduplicationWindowMs()));
            }
        }
        if (a.beginByMs < a.timeoutAtMs()) {
            core.after(a.beginByMs - core.now(), () -> withdraw(a));
        }
    }

    /**
     * The one place that every attempt of a request passes before its first byte, on whatever connection and however
     * long it has waited for it. One that may not begin ends here as not sent.
     */
    public boolean mayBegin(RequestAttempt a) {
        Invariant violated = sendGuard.violatedBy(a, core.now());
        if (violated != null) {
            core.invariants.recordStopped(
                    violated,
                    a.context.command.id,
                    "attempt " + a.index() + " at " + name(a.server()) + " was not begun");
            a.onEnd(AttemptOutcome.NOT_SENT);
            return false;
        }
        if (a.context.dueMs > a.context.command.clientDueMs) {
            core.invariants.recordViolation(
                    Invariant.DEADLINE_WITHIN_CLIENTS,
                    a.context.command.id,
                    "its pool waits " + Math.round(a.context.dueMs - a.context.command.clientDueMs)
                            + " ms longer than its client");
        }
        return true;
    }

    Idempotency effect(RequestContext x) {
        return settings.classes().get(x.command.serviceClass).idempotency();
    }

    /** Ends an attempt that has not begun; one that has goes on. */
    private void withdraw(RequestAttempt a) {
        if (!a.hasEnded() && !a.hasBegun() && a.connection() != null) {
            a.connection().giveUp(a);
            a.onEnd(AttemptOutcome.NOT_SENT);
        }
    }

    @Override
    public void reject(int request, double retryAfterMs) {
        RequestContext x = exchanges.get(request);
        if (x != null) {
            finish(x, retryAfterMs);
        }
    }

    @Override
    public void fail(int request) {
        RequestContext x = exchanges.get(request);
        if (x != null) {
            finish(x, Double.NaN);
        }
    }

    @Override
    public void cancelAttempt(int request, int attempt) {
        RequestContext x = exchanges.get(request);
        RequestAttempt a = x == null || attempt >= x.attempts.size() ? null : x.attempts.get(attempt);
        if (a == null || a.hasEnded() || a.firstByteMs != 0) {
            return;
        }
        if (a.connection() != null) {
            a.connection().giveUp(a);
        }
        tell(() -> a.onEnd(AttemptOutcome.CANCELLED));
    }

    @Override
    public void querySiblings(int request, double waitMs) {
        RequestContext x = exchanges.get(request);
        if (x != null) {
            questions.ask(
                    x.command.key,
                    waitMs,
                    sibling ->
                            tell(() -> guard(x, () -> module.onSiblingResponse(core.now(), request, sibling, this))));
        }
    }

    @Override
    public void setTimer(double afterMs, int token) {
        core.after(afterMs, () -> tell(() -> module.onTimer(core.now(), token, this)));
    }

    @Override
    public void probeServer(int server) {
        if (probes == null || !probes.take(server)) {
            probe(server, null);
        }
    }

    /** Tests a server; who asked hears of its end, and the module does where that is nobody (null). */
    public void probe(int server, Consumer<AttemptOutcome> asked) {
        Upstream u = upstreams.get(server);
        double now = core.now();
        HealthProbe a = new HealthProbe(this, server, now, now + PROBE_TIMEOUT_MS, asked);
        if (u == null || !u.send(a)) {
            tell(() -> a.onEnd(AttemptOutcome.CONNECT_FAILED));
        } else {
            a.timer = core.after(PROBE_TIMEOUT_MS, () -> expire(a));
        }
    }

    void endProbe(HealthProbe probe, AttemptOutcome outcome, float[] report, ByteBuf value) {
        if (value != null) {
            value.release();
        }
        if (probe.hasEnded()) {
            return;
        }
        probe.end();
        stop(probe.timer);
        double elapsedMs = core.now() - probe.startedMs();
        if (probe.asked != null) {
            probe.asked.accept(outcome);
        } else {
            tell(() -> module.onProbeResult(core.now(), probe.server(), outcome, elapsedMs, report, this));
        }
    }

    /** The end of a test that others have taken over. */
    public void probed(int server, boolean sound) {
        tell(() -> module.onProbeResult(
                core.now(), server, sound ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT, 0, null, this));
    }

    @Override
    public void closeIdleConnections(int server) {
        Upstream u = upstreams.get(server);
        if (u != null) {
            u.closeIdle(Double.MAX_VALUE);
        }
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        if (peers != null) {
            peers.send(peer, message);
        }
    }

    @Override
    public void watchEndpointList(boolean on) {
        discovery.watch(on);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetch();
    }

    @Override
    public void log(String line) {
        core.log(line);
    }

    private static void stop(Timer timer) {
        if (timer != null) {
            timer.cancel();
        }
    }
}
