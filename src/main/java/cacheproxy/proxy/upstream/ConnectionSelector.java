package cacheproxy.proxy.upstream;

import java.util.List;

/**
 * Selects the connection that takes an attempt, among those to one server that are open. Used on the event loop only.
 */
final class ConnectionSelector {
    private final EventLoopContext loopContext;
    private final boolean origin;
    private final int maxDepth;
    private final List<UpstreamConnection> connections;

    /**
     * Creates a selector.
     *
     * @param origin whether the server is an origin server
     * @param maxDepth how many attempts a connection may have
     * @param connections the server's connections, which the owner adds and removes
     */
    ConnectionSelector(
            EventLoopContext loopContext, boolean origin, int maxDepth, List<UpstreamConnection> connections) {
        this.loopContext = loopContext;
        this.origin = origin;
        this.maxDepth = maxDepth;
        this.connections = connections;
    }

    /**
     * The connection with the fewest attempts, and of the idle ones that used last; null if none can take more.
     * Responses come in order, so an attempt behind others waits for theirs.
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
     * Whether a duplicate of the last response could be told from the response of an attempt that is sent now. The
     * origin's responses carry no id; a duplicate that comes while no attempt has begun closes the connection.
     */
    boolean isReusable(UpstreamConnection connection) {
        return !origin
                || !connection.isConnected()
                || !connection.hasResponded()
                || loopContext.nowMs() - connection.idleSinceMs() >= Upstream.REUSE_DELAY_MS;
    }
}
