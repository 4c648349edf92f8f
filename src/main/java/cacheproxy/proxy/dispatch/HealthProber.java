package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.PoolProtocol;
import cacheproxy.proxy.upstream.Upstream;
import java.util.function.Consumer;

/** Performs a pool's health checks. Used on the event loop only. */
final class HealthProber {
    private final EventLoopContext loopContext;
    private final PoolServices pool;
    private final PoolProtocol protocol;

    HealthProber(PoolServices pool, PoolProtocol protocol) {
        this.pool = pool;
        this.protocol = protocol;
        loopContext = pool.loopContext();
    }

    /** Performs a check that the policy has requested, unless the delegate takes it over. */
    void check(int server) {
        if (!pool.extensions().healthChecks().takeOver(server)) {
            probe(server);
        }
    }

    /** Probes a server and reports the result to the policy. */
    void probe(int server) {
        send(
                server,
                (outcome, elapsedMs, loadReport) -> pool.policy().probeEnded(server, outcome, elapsedMs, loadReport));
    }

    /** Probes a server and passes the result to the consumer instead of the policy. */
    void probe(int server, Consumer<AttemptOutcome> result) {
        send(server, (outcome, elapsedMs, loadReport) -> result.accept(outcome));
    }

    private void send(int server, HealthProbe.Listener listener) {
        double nowMs = loopContext.nowMs();
        HealthProbe probe = new HealthProbe(this, server, nowMs, nowMs + Dispatcher.PROBE_TIMEOUT_MS, listener);
        Upstream upstream = pool.servers().find(server);
        if (upstream != null && upstream.send(probe)) {
            probe.expireAfter(loopContext, Dispatcher.PROBE_TIMEOUT_MS);
        } else {
            pool.policy().run(() -> probe.onEnd(AttemptOutcome.CONNECT_FAILED));
        }
    }

    /** The protocol of the pool's servers. */
    PoolProtocol protocol() {
        return protocol;
    }

    /** Whether two attempts of a request may be in flight at once. */
    boolean hedgingAllowed() {
        return pool.settings().hedgingAllowed();
    }

    /** The time on the event loop's clock. */
    double nowMs() {
        return loopContext.nowMs();
    }
}
