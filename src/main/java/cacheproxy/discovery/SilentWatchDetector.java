package cacheproxy.discovery;

import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.State;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;

/**
 * Whether the list of servers that a proxy holds may be old, though nothing says so. A watch is an open question: one
 * that has fallen silent looks like one with nothing to tell, until its longest wait is over, and by then a release may
 * have replaced half the fleet. Two things tell them apart:
 *
 * <ul>
 *   <li>Servers that are ready on the list and refuse connections. Discovery sees within its notice that a process has
 *       ended; where it says nothing for longer, it is not heard. Many at once are hardly chance, and are not waited
 *       for that long. Each call that brought no change of theirs doubles the wait for the next, as a server may stay
 *       down and listed.
 *   <li>Another proxy that has a later version ({@link VersionGossip}). Each call that does not bring it doubles the
 *       wait, and after {@link #MOST_CALLS} it is taken for false: then no version is believed for a while, so that a
 *       false one costs few calls.
 * </ul>
 *
 * <p>Proxies doubt together, and discovery has room for few calls: each adds a delay by its number among them.
 *
 * <p>Holds at most two entries a listed server. Times are milliseconds on the caller's clock.
 */
public final class SilentWatchDetector {
    /** Calls for a version that only others have. */
    static final int MOST_CALLS = 4;
    /** How often a wait is doubled at most, and for how many notices no version is believed after a false one. */
    private static final int MOST_DOUBLINGS = 4;

    private static final int LEAST_MANY = 3;
    /** One in so many of the ready servers counts as many. */
    private static final int MANY_OF = 10;

    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final double noticeMs;
    private final double quickMs;
    private final double delayMs;
    private final Set<Integer> ready = new HashSet<>();
    /** Ready servers that have refused a connection since the last news, and none has come up to since. */
    private final Set<Integer> refusing = new HashSet<>();

    private double firstAt = NEVER;
    private double manyAt = NEVER;
    private int doublings;
    /** Since when another proxy is known to have a later version, which, and the calls for it. */
    private double behindAt = NEVER;

    private long claimed = Long.MIN_VALUE;
    private int calls;
    private double deafUntil = Double.NEGATIVE_INFINITY;

    /**
     * @param noticeMs how long discovery may take to tell that a process has ended
     * @param quickMs the same where many have ended, or where another proxy was told
     * @param delayMs added to both: another at each proxy
     */
    public SilentWatchDetector(double noticeMs, double quickMs, double delayMs) {
        this.noticeMs = noticeMs;
        this.quickMs = quickMs;
        this.delayMs = delayMs;
    }

    /**
     * Discovery has answered.
     *
     * @param seq the list's version
     * @param whole whether with the whole list, else with what has changed, perhaps nothing
     */
    public void told(long seq, boolean whole, Collection<Member> members) {
        if (seq >= claimed) {
            forgetVersions();
        }
        if (whole) {
            ready.clear();
        }
        for (Member m : members) {
            if (m.state() == State.READY) {
                ready.add(m.id());
            } else {
                ready.remove(m.id());
            }
            if (refusing.contains(m.id())) {
                doublings = 0;
            }
        }
        calm();
    }

    private void calm() {
        refusing.clear();
        firstAt = manyAt = NEVER;
    }

    /** A server refused a connection. */
    public void refused(double now, int server) {
        if (ready.contains(server) && refusing.add(server)) {
            firstAt = Math.min(firstAt, now);
            manyAt = many() ? Math.min(manyAt, now) : NEVER;
        }
    }

    /** A server has taken a connection: its process runs. */
    public void connected(int server) {
        if (refusing.remove(server)) {
            firstAt = refusing.isEmpty() ? NEVER : firstAt;
            manyAt = many() ? manyAt : NEVER;
        }
    }

    private boolean many() {
        return refusing.size() >= Math.max(LEAST_MANY, ready.size() / MANY_OF);
    }

    /** Another proxy says that it has this version, later than the one held here. */
    public void claimed(double now, long seq) {
        if (seq > claimed && now >= deafUntil) {
            claimed = seq;
            behindAt = Math.min(behindAt, now);
        }
    }

    /** What others have claimed says nothing any more, as when discovery begins to count anew. */
    public void forgetVersions() {
        claimed = Long.MIN_VALUE;
        behindAt = NEVER;
        calls = 0;
    }

    /**
     * When to ask anew, if nothing is told until then; infinite: no need is seen. It may move either way with each call
     * here.
     */
    public double dueAt() {
        double refusals = Math.min(firstAt + noticeMs * (1 << doublings), manyAt + quickMs * (1 << doublings));
        return Math.min(refusals, behindAt + quickMs * (1 << calls)) + delayMs;
    }

    /** Whether to ask anew now; if so it counts as done. */
    public boolean ask(double now) {
        if (now < dueAt()) {
            return false;
        }
        if (firstAt < NEVER) {
            doublings = Math.min(MOST_DOUBLINGS, doublings + 1);
        }
        calm();
        if (behindAt < NEVER) {
            behindAt = now; // the new call may fall silent, too
            if (++calls == MOST_CALLS) { // what discovery never has, nobody can have got from it
                forgetVersions();
                deafUntil = now + noticeMs * (1 << MOST_DOUBLINGS);
            }
        }
        return true;
    }
}
