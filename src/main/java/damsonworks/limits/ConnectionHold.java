package damsonworks.limits;

/**
 * How long an idle connection to a cache node is kept. A node takes a bounded number for all proxies together and tells
 * nobody what it is; where proxies are many, idle connections of some keep others out, whose requests then go to a runner-up
 * that lacks their key. Held for a shorter time, connections serve more proxies and cost more handshakes.
 *
 * <p>The time falls with each connection that a node turned away and rises with each that it took, both by a factor. So it
 * rests where {@link #TURNED_AWAY} of new connections are turned away, whatever the number of proxies, nodes and requests.
 * Proxies need not agree: each lets go of its own at all nodes alike, and finds out at those where it has none.
 */
public final class ConnectionHold {
    /** The part of new connections that may be turned away. Each costs a detour, and a shorter time costs handshakes for all. */
    public static final double TURNED_AWAY = 0.02;
    /** Milliseconds. Shorter than a request takes, it would be the same as none at all. */
    public static final double SHORTEST_MS = 20;
    /** Milliseconds. */
    public static final double LONGEST_MS = 30_000;
    private static final double LESS = 0.9;
    private static final double MORE = Math.pow(LESS, -TURNED_AWAY / (1 - TURNED_AWAY));

    private double ms = LONGEST_MS;

    /** A node had no room for a new connection. */
    public void turnedAway() {
        ms = Math.max(SHORTEST_MS, ms * LESS);
    }

    /** A node answered on a new connection. */
    public void taken() {
        ms = Math.min(LONGEST_MS, ms * MORE);
    }

    /** How long an idle connection may stand, in milliseconds, {@link #SHORTEST_MS} to {@link #LONGEST_MS}. */
    public double ms() {
        return ms;
    }

    /**
     * Whether connections are short, so that a server gets one at most: requests that go out on one are begun all the same,
     * only answered in turn.
     */
    public boolean scarce() {
        return ms < LONGEST_MS / 2;
    }
}
