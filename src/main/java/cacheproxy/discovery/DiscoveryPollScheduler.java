package cacheproxy.discovery;

import java.util.SplittableRandom;

/**
 * When discovery is to be called, and for how long each call may wait and take, so that the list held is never older
 * than {@link #BOUND_MS} while discovery can be reached. A call held open that has fallen silent looks like one with
 * nothing to tell; only an answer shows that it was heard. So what counts is the last sound answer: the next must come
 * within the bound, with time left for one call that falls silent and for one more.
 *
 * <p>The bound is spent so: {@link #WATCH_MS} that a call may wait for news, its limit beyond that, and as much again
 * for the call that takes its place, which waits for nothing. A discovery that is slow to answer gets longer limits, as
 * calls that are given up in its queue would only lengthen it. Whoever was refused comes again by full jitter under a
 * cap that grows with the number of callers, so that they neither come together nor late.
 *
 * <p>Free of I/O and clocks; times are milliseconds on the caller's clock. Holds a few figures, nothing that grows.
 */
public final class DiscoveryPollScheduler {
    /** A change counts as told so long after discovery had it and could be reached. */
    public static final double BOUND_MS = 6000;
    /**
     * What a call waits for news: with the limit of one that answers within a second, and another's answer, under the
     * bound.
     */
    static final int WATCH_MS = 2800;
    /** Of a call that asks for what there is. */
    static final int ASK_MS = 1;
    /**
     * What a call may take beyond its wait where answers come quickly: two such limits and a wait fit into the bound.
     */
    static final double LEAST_LIMIT_MS = 1400;
    /** The same at the most: what discovery turns away it has held for less. */
    static final double MOST_LIMIT_MS = 4000;
    /** How many times what answers took lately a call may take. */
    private static final double SLACK = 2;
    /**
     * What an answer may take beyond its call's wait, at the least, before the call counts as silent if others have
     * news.
     */
    private static final double LEAST_TRUST_MS = 300;
    /** What is left, after each answer, of the longest that one took. */
    private static final double FADES = 0.75;

    private static final double FIRST_RETRY_MS = 250;
    /** The longest wait before a retry grows by this for each caller, between the two bounds below. */
    private static final double RETRY_A_CALLER_MS = 25;

    static final double LEAST_RETRY_MS = 500;
    static final double MOST_RETRY_MS = 2500;
    private static final int MOST_DOUBLINGS = 10;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    /**
     * A call to be made.
     *
     * @param waitMs what discovery may wait for news
     * @param limitMs after which it counts as failed, its wait included
     */
    public record Call(int waitMs, double limitMs) {}

    private final double mostRetryMs;
    private final SplittableRandom random;
    private boolean following;
    private boolean closely = true;
    private boolean out;
    private boolean asks;
    private boolean sound;
    private int failures;
    private double dueAt = NEVER;
    private double sentAt;
    private int waitMs;
    private double tookMs;
    private double soundAt = Double.NEGATIVE_INFINITY;

    /**
     * @param asked whether discovery is one service for all; else it is an agent of our own machine, which calls cost
     *     nothing
     * @param callers how many proxies call it, this one among them
     */
    public DiscoveryPollScheduler(boolean asked, int callers, SplittableRandom random) {
        mostRetryMs =
                asked ? Math.max(LEAST_RETRY_MS, Math.min(MOST_RETRY_MS, RETRY_A_CALLER_MS * callers)) : LEAST_RETRY_MS;
        this.random = random;
    }

    /** The list is to be followed from now on, or no longer. Said again while it is followed it changes nothing. */
    public void follow(double now, boolean on) {
        if (!on) {
            following = out = false;
            dueAt = NEVER;
        } else if (!following) {
            following = true;
            goOn(now);
        }
    }

    /**
     * Whether a call is to be out at all times; else there is one only on {@link #ask}, and until a first sound answer.
     */
    public void closely(double now, boolean on) {
        boolean idle = !out && dueAt == NEVER;
        closely = on;
        if (following && on && idle) {
            dueAt = now;
        } else if (!on && sound && failures == 0 && !asks) {
            out = false; // discovery need not keep it
            dueAt = NEVER;
        }
    }

    /**
     * There is something to ask for, or what is out is not trusted: a call at once that waits for nothing. One of that
     * kind that is out is left to end, and followed by another, so that many who say so cannot keep each from its
     * answer.
     */
    public void ask(double now) {
        if (following) {
            asks = true;
            if (!out || waitMs != ASK_MS) {
                out = false;
                dueAt = now;
            }
        }
    }

    /** Discovery stands elsewhere: what is out at the old address is forgotten, as are its failures. */
    public void moved(double now) {
        failures = 0;
        tookMs = 0;
        sound = false;
        following = true;
        out = false;
        ask(now);
    }

    /** When the next call is due; infinite: none is, or one is out. */
    public double dueAt() {
        return dueAt;
    }

    /**
     * Until when the call that is out is not to be given up for what others say: discovery answers its callers in turn,
     * and who gives up in its queue comes last again, or is turned away. A call waits for news so shortly that a silent
     * one shows soon enough by itself. Negative infinity: none is out.
     */
    public double trustedUntil() {
        return out ? sentAt + waitMs + Math.max(LEAST_TRUST_MS, SLACK * tookMs) : Double.NEGATIVE_INFINITY;
    }

    /** Whether a call is out that still counts. */
    public boolean out() {
        return out;
    }

    /** The call that is due begins. */
    public Call begin(double now) {
        out = true;
        dueAt = NEVER;
        sentAt = now;
        waitMs = asks ? ASK_MS : WATCH_MS;
        asks = false;
        double limit =
                Math.max(LEAST_LIMIT_MS, SLACK * tookMs) * (1 << Math.max(0, Math.min(failures - 1, MOST_DOUBLINGS)));
        return new Call(waitMs, waitMs + Math.min(MOST_LIMIT_MS, limit));
    }

    /** The call that is out has had a sound answer. */
    public void answered(double now) {
        double took = now - sentAt - waitMs;
        if (took >= 0) { // else news came early, which tells nothing of how long answers take
            tookMs = Math.max(took, tookMs * FADES);
        }
        soundAt = now;
        sound = true;
        failures = 0;
        out = false;
        goOn(now);
    }

    /**
     * The call that is out has failed in whatever way: no connection, refused, cut off, given up, unreadable.
     *
     * @param silent whether nothing came of it until its limit
     */
    public void failed(double now, boolean silent) {
        out = false;
        failures++;
        asks = true; // one that waits could not be told from another silent one
        // Calls that fall silent were begun at times of their own, and what a failed one took is part of its bound.
        // Those that were
        // refused may have been so all at once.
        double cap = silent && failures == 1 ? 0 : Math.max(LEAST_RETRY_MS, mostRetryMs - (now - sentAt));
        double most = Math.min(cap, FIRST_RETRY_MS * (1 << Math.min(failures - 1, MOST_DOUBLINGS)));
        dueAt = following ? now + most * random.nextDouble() : NEVER;
    }

    private void goOn(double now) {
        dueAt = following && (closely || !sound || asks) ? now : NEVER;
    }

    /** Failures since the last sound answer. */
    public int failures() {
        return failures;
    }

    /** For how long there has been no sound answer; infinite: there has been none. */
    public double age(double now) {
        return now - soundAt;
    }
}
