package cacheproxy.proxy.dispatch;

import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.PoolProtocol;
import cacheproxy.proxy.upstream.Upstream;
import java.util.function.Consumer;

/** Makes a pool's health checks. On the event loop only. */
final class HealthProber {
    private final EventLoopContext loopContext;
    private final PoolServices pool;
    private final PoolProtocol protocol;

    HealthProber(PoolServices pool, PoolProtocol protocol) {
        this.pool = pool;
        this.protocol = protocol;
        loopContext = pool.loopContext();
    }

    /** Checks a server as the policy has ordered, unless others take the check over. */
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

    /** Probes a server for others; the policy does not get the result. */
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

    /** How the pool's servers speak. */
    PoolProtocol protocol() {
        return protocol;
    }

    /** Whether two attempts of a request may be in flight at once. */
    boolean hedgingAllowed() {
        return pool.settings().hedgingAllowed();
    }

    /** The time by the event loop's clock. */
    double nowMs() {
        return loopContext.nowMs();
    }
}
