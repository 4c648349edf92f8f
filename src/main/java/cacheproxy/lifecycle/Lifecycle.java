package cacheproxy.lifecycle;

/**
 * What a process owes its clients from its start to its end: whether it says that it takes clients, whether it takes
 * new connections, and which of the standing ones it ends between requests. Times are milliseconds of one clock that
 * comes in with each call; nothing here waits, reads a clock or draws chance.
 *
 * <p>Ending connections is spread: those ended together would all come to the remaining proxies at once. Each
 * connection has a place from 0 to 1, and is ended between requests once {@link #share} is past it.
 */
public final class Lifecycle {
    /** Where a process stands. */
    public enum State {
        ACTIVE,
        STANDBY,
        LEAVING
    }

    /**
     * Periods in milliseconds, none negative.
     *
     * @param holdMs from standby to the first end of a connection: a front that has not heard yet would deal out the
     *     connection that takes its place to this process again
     * @param spreadMs over which all that stand are ended from then on
     * @param listenOnMs from the word to leave to the end of listening, where nobody else listens at this address
     * @param leaveSpreadMs over which connections are ended where a successor listens already. What is asked last still
     *     has a whole deadline, so this is to be short of what is left to the process beyond that
     */
    public record Periods(double holdMs, double spreadMs, double listenOnMs, double leaveSpreadMs) {
        /** A front hears after 0.1 s and heeds after 0.2 s more; after 4 s nothing may be held idle. */
        public static final Periods USUAL = new Periods(450, 1200, 500, 350);

        public Periods {
            if (!(holdMs >= 0 && spreadMs >= 0 && listenOnMs >= 0 && leaveSpreadMs >= 0)) {
                throw new IllegalArgumentException("a period is negative");
            }
        }
    }

    private final Periods periods;
    private State state = State.ACTIVE;
    private boolean handedOver;
    private double since;

    public Lifecycle(Periods periods) {
        this.periods = periods;
    }

    public State state() {
        return state;
    }

    /**
     * Sends clients away; false where the process is to end, which nothing takes back. Said twice it is as said once.
     */
    public boolean standby(double now) {
        if (state == State.ACTIVE) {
            state = State.STANDBY;
            since = now;
        }
        return state != State.LEAVING;
    }

    /** Takes clients again; false where the process is to end. */
    public boolean active() {
        if (state == State.STANDBY) {
            state = State.ACTIVE;
        }
        return state != State.LEAVING;
    }

    /** The process is to end. @param successor whether another process takes connections at the same address already */
    public void leave(double now, boolean successor) {
        if (state != State.LEAVING) {
            state = State.LEAVING;
            handedOver = successor;
            since = now;
        }
    }

    /**
     * Whether clients are told to come. One that leaves says yes to the last: where it has a successor at its address a
     * no of one would speak against both, and where it has none its address is about to fall silent.
     */
    public boolean takesClients() {
        return state != State.STANDBY;
    }

    /** Whether new connections are taken. In standby they are: what has been dealt out already must be served. */
    public boolean listens(double now) {
        return state != State.LEAVING || !handedOver && now < since + periods.listenOnMs;
    }

    /** The share of connections, by their places, that end between requests. Past 1 all do. */
    public double share(double now) {
        return switch (state) {
            case ACTIVE -> 0;
            case STANDBY -> part(now - periods.holdMs, periods.spreadMs);
            case LEAVING -> handedOver ? part(now, periods.leaveSpreadMs) : listens(now) ? 0 : 1;
        };
    }

    private double part(double now, double spreadMs) {
        return now < since ? 0 : spreadMs == 0 ? 1 : Math.min(1, (now - since) / spreadMs);
    }

    /**
     * The place of the connection of this number, from 0 to under 1. Neighbours lie far apart, so that any stretch of
     * numbers is spread evenly (the golden ratio's multiples; Knuth, The Art of Computer Programming 3, 6.4).
     */
    public static double place(long number) {
        double x = number * 0.618_033_988_749_894_9;
        return x - Math.floor(x);
    }
}
