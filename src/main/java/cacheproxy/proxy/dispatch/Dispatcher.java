package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.RoutingPolicy;
import cacheproxy.proxy.discovery.EndpointListConsumer;
import cacheproxy.proxy.discovery.EndpointListSource;
import cacheproxy.proxy.discovery.ListedServer;
import cacheproxy.proxy.request.ClientRequest;
import cacheproxy.proxy.request.Responder;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.PoolProtocol;
import cacheproxy.proxy.upstream.Upstream;
import cacheproxy.siblings.Siblings;
import cacheproxy.snapshot.state.LearnedState;
import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * A pool, as the rest of the proxy sees it: connects the routing policy with the components that report events to it
 * and execute its actions. Makes no decisions itself. Used on the event loop only.
 */
public final class Dispatcher implements EndpointListConsumer {
    /** How long a health probe may take, in milliseconds. */
    public static final double PROBE_TIMEOUT_MS = 250;

    private static final long SWEEP_MS = 1000;

    private final EventLoopContext loopContext;
    private final PoolOptions options;
    private final PoolServices services;
    private final PolicyEvents events;
    private final PoolServers servers;
    private final RequestLifecycle requests;
    private final HealthProber prober;
    private final PolicyActionExecutor actions;
    private final SlowStartLog slowStarts;
    private Siblings siblingDecisions = Siblings.NONE;
    private RoutingPolicy policy;
    private EndpointListSource discovery;
    /** Null if there is no state to restore, and after it has been restored. */
    private LearnedStateProvider learnedState;

    private Future<?> sweeper;

    /** Creates a pool that has neither servers nor a policy yet. */
    public Dispatcher(EventLoopContext loopContext, PoolOptions options) {
        this.loopContext = loopContext;
        this.options = options;
        services = PoolServices.of(loopContext, options);
        events = services.policy();
        servers = services.servers();
        requests = new RequestLifecycle(services);
        PolicySettings settings = options.settings();
        PoolProtocol protocol =
                new PoolProtocol(options.stockServers(), settings.loadReportSource(), settings.loadReportFields());
        RequestAttempts attempts =
                new RequestAttempts(services, new AttemptResultHandler(services, requests), protocol);
        prober = new HealthProber(services, protocol);
        actions = new PolicyActionExecutor(services, requests, attempts, prober);
        slowStarts = new SlowStartLog(loopContext, settings, servers, events::slowStarts);
    }

    // ---- set up, before the start

    /** Makes the policy restore a state when the first list with a server arrives; null if there is no state. */
    public void restoreFrom(LearnedStateProvider provider) {
        learnedState = provider;
    }

    /** Lets the policy query siblings. */
    public void useSiblings(Siblings decisions, SiblingQueries queries) {
        siblingDecisions = decisions;
        services.extensions().setSiblings(queries);
    }

    /** Lets a delegate perform health checks for this pool. */
    public void delegateHealthChecks(HealthCheckDelegate delegate) {
        services.extensions().setHealthChecks(delegate);
    }

    // ---- start and end

    /** Starts the policy of a proxy that exchanges no messages with other proxies. */
    public void start(EndpointListSource source) {
        start(source, PeerMessageSender.NONE);
    }

    /** Starts the policy. */
    public void start(EndpointListSource source, PeerMessageSender peers) {
        discovery = source;
        actions.connect(source, peers);
        policy = new RoutingPolicy(
                options.settings(), options.seed(), options.placements(), options.admission(), siblingDecisions);
        events.start(policy, actions);
        sweeper = loopContext.loop().scheduleWithFixedDelay(this::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
    }

    private void sweep() {
        servers.sweep();
        slowStarts.update();
    }

    /** Stops the pool at once, without a response to pending requests. Closes connections that no other pool uses. */
    public void stop() {
        events.stop();
        discovery.close();
        sweeper.cancel(false);
        servers.close();
    }

    /**
     * Concludes every pending request whose client has received nothing, because the process will end before the
     * request's deadline.
     */
    public void concludeAll() {
        requests.concludeAll();
    }

    // ---- requests

    /** Creates a client's request, whose client-assigned id becomes free when the request is concluded. */
    RequestContext newRequest(ClientRequest request, long keyHash, Responder responder) {
        return new RequestContext(requests, request, keyHash, responder, true);
    }

    /**
     * Creates a request that a router passes on. The pool also retains it until its attempts have ended.
     *
     * @param keyHash the hash by which the policy places the key
     * @param dueMs when the pool stops waiting
     */
    public RequestContext newRoutedRequest(ClientRequest request, long keyHash, Responder responder, double dueMs) {
        RequestContext context = new RequestContext(requests, request.retain(), keyHash, responder, false);
        context.setDueMs(dueMs);
        return context;
    }

    /** Lets the policy route a request. The responder gets exactly one response, possibly before this call returns. */
    public void dispatch(RequestContext context) {
        requests.start(context);
    }

    /** The number of requests that are pending or have attempts in flight. */
    public int pendingRequests() {
        return requests.count();
    }

    // ---- servers

    @Override
    public void endpointListReceived(EndpointListKind kind, List<ListedServer> hosts) {
        servers.apply(kind, hosts);
        events.endpointListReceived(
                kind, hosts.stream().map(ListedServer::endpoint).toList());
        events.run(slowStarts::update);
        if (learnedState != null && hasServers()) {
            LearnedStateProvider provider = learnedState;
            learnedState = null;
            events.restore(() -> provider.restore(loopContext.nowMs(), hosts));
        }
    }

    /** Whether a list with a server has arrived. */
    public boolean hasServers() {
        return !servers.isEmpty();
    }

    /** The address of a server; null if it is not on the list. */
    public SocketAddress address(int server) {
        Upstream upstream = servers.find(server);
        return upstream == null ? null : upstream.address();
    }

    /** Whether the policy considers a server healthy. */
    public boolean isHealthy(int server) {
        return policy.isHealthy(loopContext.nowMs(), server);
    }

    /** Whether some cache server is healthy, or none is listed. */
    public boolean hasHealthyCacheServer() {
        return servers.anyCacheServer(this::isHealthy);
    }

    /** Returns, in several lines, the servers in their slow start with their budgets and what was sent and withheld. */
    public String slowStartSummary() {
        return slowStarts.summary();
    }

    /** Probes a server and reports the result to the policy. */
    public void probe(int server) {
        prober.probe(server);
    }

    /** Probes a server and passes the result to the consumer instead of the policy. */
    public void probe(int server, Consumer<AttemptOutcome> result) {
        prober.probe(server, result);
    }

    /** Reports the result of a health check that a {@link HealthCheckDelegate} has taken over. */
    public void healthCheckCompleted(int server, boolean healthy) {
        events.probeEnded(server, healthy ? AttemptOutcome.OK : AttemptOutcome.TIMEOUT, 0, null);
    }

    // ---- the policy

    @Override
    public PolicySettings settings() {
        return options.settings();
    }

    @Override
    public long seed() {
        return options.seed();
    }

    /** Whether the policy has more requests than its servers can handle in time. */
    public boolean isOverloaded() {
        return policy.isOverloaded(loopContext.nowMs());
    }

    /** The state that the policy has learned, with at most {@code maxHotKeys} hot keys. */
    public LearnedState learnedState(int maxHotKeys) {
        return policy.learnedState(loopContext.nowMs(), maxHotKeys);
    }

    /** Reports a message from another proxy to the policy. */
    public void peerMessageReceived(int peer, byte[] message) {
        events.peerMessageReceived(peer, message);
    }

    @Override
    public void sendToPeer(int peer, byte[] message) {
        actions.sendToPeer(peer, message);
    }

    @Override
    public void log(String line) {
        loopContext.log(line);
    }
}
