package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedServer;

/**
 * Ejects servers that fail, for a time that grows with consecutive failures, and readmits them after a half-open probe:
 * one idempotent request, or a health check if the policy may send health checks. A rate limit on probes bounds how
 * many requests a fleet with many ejected servers spends on them.
 */
final class OutlierEjection {
    /** The shortest ejection, in connect timeouts. */
    private static final int EJECTION_CONNECT_TIMEOUTS = 10;

    private static final int MAX_DOUBLINGS = 3;

    /** Half-open probes for each request. */
    private static final double PROBE_RATIO = 0.05;

    private static final double MAX_PROBE_TOKENS = 1;

    private final PolicySettings settings;
    private double probeTokens = MAX_PROBE_TOKENS;

    OutlierEjection(PolicySettings settings) {
        this.settings = settings;
    }

    /** Records a client's request, which earns a fraction of a probe. */
    void recordRequest() {
        probeTokens = Math.min(MAX_PROBE_TOKENS, probeTokens + PROBE_RATIO);
    }

    /** Counts a failure of a server and ejects it. */
    void eject(double nowMs, ServerState server) {
        server.eject(nowMs + ejectionMs(server.failures()));
    }

    private double ejectionMs(int earlierFailures) {
        int doublings = Math.max(0, Math.min(earlierFailures, MAX_DOUBLINGS));
        return EJECTION_CONNECT_TIMEOUTS * settings.connectTimeoutMs() * (1 << doublings);
    }

    /** Returns whether a request may trigger a half-open probe of a server that is not trusted. */
    boolean isProbeDue(double nowMs, PendingRequest pending, ServerState server) {
        return nowMs >= server.ejectedUntilMs()
                && !server.isProbing()
                && pending.serviceClass().isIdempotent()
                && pending.attempts() == 0
                && probeTokens >= 1;
    }

    /**
     * Starts a half-open probe; returns whether the request that triggered it is the probe, rather than a health check.
     */
    boolean startProbe(ServerState server, PolicyActions actions) {
        probeTokens--;
        server.startProbe();
        if (settings.probingAllowed()) {
            actions.probeServer(server.id());
        }
        return !settings.probingAllowed();
    }

    /** Records the result of a health check; ignored for a server without failures. */
    void recordProbe(double nowMs, ServerState server, AttemptOutcome outcome) {
        if (server.failures() == 0) {
            return;
        }
        if (outcome == AttemptOutcome.OK) {
            server.passProbe();
        } else {
            eject(nowMs, server);
        }
    }

    /** Restores an ejection from an earlier process, which lasts no longer than this policy would eject the server. */
    void restore(double nowMs, ServerState server, LearnedServer learned) {
        server.restore(learned, nowMs + Math.min(learned.ejectedForMs(), ejectionMs(learned.failures() - 1)));
    }
}
