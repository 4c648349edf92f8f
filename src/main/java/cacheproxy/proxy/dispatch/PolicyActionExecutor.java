package cacheproxy.proxy.dispatch;

import cacheproxy.policy.PolicyActions;
import cacheproxy.proxy.discovery.EndpointListSource;

/**
 * Executes the actions of a pool's routing policy. An action on a request or an attempt that has ended in the meantime
 * is ignored. Used on the event loop only.
 */
final class PolicyActionExecutor implements PolicyActions {
    private final PoolServices pool;
    private final RequestLifecycle requests;
    private final RequestAttempts attempts;
    private final HealthProber prober;
    private EndpointListSource discovery = EndpointListSource.NONE;
    private PeerMessageSender peers = PeerMessageSender.NONE;

    PolicyActionExecutor(PoolServices pool, RequestLifecycle requests, RequestAttempts attempts, HealthProber prober) {
        this.pool = pool;
        this.requests = requests;
        this.attempts = attempts;
        this.prober = prober;
    }

    /**
     * Sets the source of the endpoint list and the sender of messages to other proxies. Must be called before the first
     * action.
     */
    void connect(EndpointListSource source, PeerMessageSender sender) {
        discovery = source;
        peers = sender;
    }

    @Override
    public void sendAttempt(int requestId, int serverId, double timeoutMs) {
        RequestContext context = requests.find(requestId);
        if (context == null || context.isConcluded()) {
            log("the policy sent an attempt for a request that has already been concluded");
            return;
        }
        attempts.send(context, serverId, timeoutMs);
    }

    @Override
    public void reject(int requestId, double retryAfterMs) {
        RequestContext context = requests.find(requestId);
        if (context == null) {
            return;
        }
        if (Double.isNaN(retryAfterMs)) { // the policy's latency average is not a number, so it gives no advice
            requests.fail(context);
        } else {
            requests.reject(context, retryAfterMs);
        }
    }

    @Override
    public void fail(int requestId) {
        RequestContext context = requests.find(requestId);
        if (context != null) {
            requests.fail(context);
        }
    }

    @Override
    public void cancelAttempt(int requestId, int attempt) {
        RequestContext context = requests.find(requestId);
        if (context != null && attempt < context.attempts().size()) {
            context.attempts().get(attempt).cancel(pool.policy());
        }
    }

    @Override
    public void querySiblings(int requestId, double waitMs) {
        RequestContext context = requests.find(requestId);
        if (context != null) {
            SiblingQueries siblings = pool.extensions().siblings();
            siblings.query(
                    context.request().key(), waitMs, sibling -> pool.policy().siblingResponded(context, sibling));
        }
    }

    @Override
    public void setTimer(double delayMs, int token) {
        pool.loopContext().after(delayMs, () -> pool.policy().timerExpired(token));
    }

    @Override
    public void probeServer(int serverId) {
        prober.check(serverId);
    }

    @Override
    public void closeIdleConnections(int serverId) {
        pool.servers().closeIdleConnections(serverId);
    }

    @Override
    public void sendToPeer(int peerId, byte[] message) {
        peers.send(peerId, message);
    }

    @Override
    public void watchEndpointList(boolean enabled) {
        discovery.watch(enabled);
    }

    @Override
    public void fetchEndpointList() {
        discovery.fetch();
    }

    @Override
    public void log(String line) {
        pool.loopContext().log(line);
    }
}
