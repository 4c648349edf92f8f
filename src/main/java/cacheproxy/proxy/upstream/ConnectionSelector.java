package cacheproxy.proxy.upstream;

import java.util.List;

/** Selects the connection for an attempt among the open connections to one server. Used on the event loop only. */
final class ConnectionSelector {
    private final EventLoopContext loopContext;
    private final boolean origin;
    private final int maxDepth;
    private final List<UpstreamConnection> connections;

    /**
     * Creates a selector.
     *
     * @param origin whether the server is an origin server
     * @param maxDepth the maximum number of attempts on a connection
     * @param connections the server's connections; the owner adds and removes them
     */
    ConnectionSelector(
            EventLoopContext loopContext, boolean origin, int maxDepth, List<UpstreamConnection> connections) {
        this.loopContext = loopContext;
        this.origin = origin;
        this.maxDepth = maxDepth;
        this.connections = connections;
    }

    /**
     * Returns the connection with the fewest attempts, and the most recently used one among idle connections; null if
     * none can take another attempt. Responses arrive in order, so an attempt queued behind others waits for their
     * responses.
     */
    UpstreamConnection best(boolean connectedOnly) {
        UpstreamConnection best = null;
        for (UpstreamConnection candidate : connections) {
            if (candidate.isUsable(maxDepth)
                    && (candidate.isConnected() || !connectedOnly)
                    && (best == null || isBetter(candidate, best))) {
                best = candidate;
            }
        }
        return best;
    }

    private boolean isBetter(UpstreamConnection candidate, UpstreamConnection best) {
        if (candidate.depth() != best.depth()) {
            return candidate.depth() < best.depth();
        }
        boolean reusable = isReusable(candidate);
        return reusable != isReusable(best) ? reusable : candidate.idleSinceMs() > best.idleSinceMs();
    }

    /**
     * Returns whether a duplicate of the last response could be distinguished from the response to an attempt that is
     * sent now. The origin's responses carry no id; a duplicate that arrives while no attempt has begun closes the
     * connection.
     */
    boolean isReusable(UpstreamConnection connection) {
        return !origin
                || !connection.isConnected()
                || !connection.hasResponded()
                || loopContext.nowMs() - connection.idleSinceMs() >= Upstream.REUSE_DELAY_MS;
    }
}
