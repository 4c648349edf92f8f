package cacheproxy.policy;

import cacheproxy.placement.Placement;

/**
 * Selects the server of an attempt. Among cache servers, this is the one ranked best for the request's key that is
 * healthy and, if it is warming up, admits the request. For a hot key the search starts at a random one of the servers
 * that the key is spread over.
 */
final class ServerSelector {
    /** Number of servers that are ranked in addition to those that a key is spread over. */
    private static final int RANKED_CANDIDATES = 8;

    private final PolicyEnvironment environment;
    private final EndpointList endpoints;
    private final OutlierEjection ejection;
    private final SlowStart slowStart;

    /** Indexes of ranked servers; reused between selections. */
    private int[] candidates = new int[RANKED_CANDIDATES];

    ServerSelector(
            PolicyEnvironment environment, EndpointList endpoints, OutlierEjection ejection, SlowStart slowStart) {
        this.environment = environment;
        this.endpoints = endpoints;
        this.ejection = ejection;
        this.slowStart = slowStart;
    }

    /**
     * Selects the server of a request's next attempt. In a cache-aside pool it is the origin if only the origin can
     * serve the request, after enough attempts at cache servers, or if no cache server is left.
     *
     * @return null if there is none, or if the request has no time or attempts left
     */
    ServerState selectNext(double nowMs, PendingRequest pending, PolicyActions actions) {
        boolean worthless = pending.serviceClass().isWorthlessWhenLate() && nowMs > pending.objectiveAtMs();
        boolean beforeDeadline = nowMs < pending.request().deadlineMs();
        if (worthless || pending.attemptsLeft() == 0 || !beforeDeadline) {
            return null;
        }
        boolean mayFetch =
                environment.settings().cacheAside() && pending.serviceClass().isIdempotent();
        boolean cacheAttemptsUsed =
                pending.attempts() >= HedgingPolicy.MAX_CACHE_ATTEMPTS && pending.missedServer() == null;
        if (pending.isOriginOnly() || (mayFetch && cacheAttemptsUsed)) {
            return endpoints.origin();
        }
        ServerState server = selectCacheServer(nowMs, pending, actions);
        return server == null && mayFetch ? endpoints.origin() : server;
    }

    /**
     * Selects a cache server and may start half-open probes. Servers that the request was already sent to are skipped,
     * except the one that missed. If none accepts the request, the best ranked one that has warmed up is selected even
     * though it is ejected.
     *
     * @return null if there is no such server
     */
    private ServerState selectCacheServer(double nowMs, PendingRequest pending, PolicyActions actions) {
        int count = rank(pending);
        int spread = Math.min(pending.hotKeySpread(), count); // the list may have shrunk since the request arrived
        int offset = spread > 1 ? environment.random().nextInt(spread) : 0;
        ServerState fallback = null;
        boolean skippedRestoredFailures = false;
        for (int i = 0; i < count; i++) {
            ServerState server = endpoints.ranked(candidates[i < spread ? (i + offset) % spread : i]);
            if (pending.wasSentTo(server) && server != pending.missedServer()) {
                continue;
            }
            boolean warmingUp = slowStart.isWarmingUp(nowMs, server);
            if (fallback == null && !warmingUp) {
                fallback = server;
            }
            // A server that is warming up must not receive more requests because of failures that were only restored.
            if (!(skippedRestoredFailures && warmingUp) && accepts(nowMs, pending, server, actions)) {
                return server;
            }
            skippedRestoredFailures |= server.hasRestoredFailures();
        }
        return fallback;
    }

    /** Ranks servers for the request's key into {@link #candidates}; returns how many. */
    private int rank(PendingRequest pending) {
        int wanted = Math.min(endpoints.rankedCount(), pending.hotKeySpread() + RANKED_CANDIDATES);
        if (wanted == 0) {
            return 0;
        }
        Placement placement = endpoints.placement();
        int capacity = placement.maxRanked(wanted);
        if (candidates.length < capacity) {
            candidates = new int[capacity];
        }
        return placement.rank(pending.placementKey(), pending.keyHash(), wanted, candidates);
    }

    /**
     * Whether a server accepts a request. A half-open probe starts only after all other conditions hold: one that is
     * not sent has no result, and its server would stay ejected.
     */
    private boolean accepts(double nowMs, PendingRequest pending, ServerState server, PolicyActions actions) {
        if (server.isTrusted()) {
            return slowStart.admits(nowMs, pending, server);
        }
        return ejection.isProbeDue(nowMs, pending, server)
                && (environment.settings().probingAllowed()
                        ? slowStart.admitsHealthCheck(nowMs, server)
                        : admitsProbe(nowMs, pending, server))
                && ejection.startProbe(server, actions);
    }

    private boolean admitsProbe(double nowMs, PendingRequest pending, ServerState server) {
        if (!slowStart.admits(nowMs, pending, server)) {
            return false;
        }
        boolean admitted = environment.admission().admitHalfOpenProbe(nowMs, server.endpoint());
        if (!admitted) {
            slowStart.releaseUnsent(pending);
        }
        return admitted;
    }
}
