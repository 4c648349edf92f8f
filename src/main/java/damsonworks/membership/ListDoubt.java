package damsonworks.membership;

import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.State;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Whether the list of servers that a proxy holds may be old, though nothing says so. A watch is an open question: one that
 * has fallen silent looks like one with nothing to tell, until its longest wait is over, and by then a release may have
 * replaced half the fleet. What tells them apart are servers that are ready on the list and refuse connections: discovery
 * sees within its notice that a process has ended, so where it says nothing for longer, it is not heard.
 *
 * <p>Where proxies may talk, another that has a later version shows the same, and sooner ({@link ListNews}).
 *
 * <p>One such server is waited for as long as discovery may take to notice it. Many at once are hardly chance, and time
 * is short. Each doubt that brought no change doubles the wait for the next, as a server may stay down and listed. Proxies
 * doubt together, and discovery has room for few calls: each adds a delay by its number among them.
 *
 * <p>Holds at most one entry a listed server. Times are milliseconds on the caller's clock.
 */
public final class ListDoubt {
    /** How often the waits are doubled at most. */
    private static final int MOST_DOUBLINGS = 4;
    private static final int LEAST_MANY = 3;
    /** One in so many of the ready servers counts as many. */
    private static final int MANY_OF = 10;

    private final double noticeMs;
    private final double quickMs;
    private final double delayMs;
    private final Set<Integer> ready = new HashSet<>();
    /** Ready servers that have refused a connection since the last news, and none has come up to since. */
    private final Set<Integer> refusing = new HashSet<>();
    private double firstAt;
    private double manyAt;
    /** Since when another proxy is known to have a later version; and which. */
    private double behindAt = Double.POSITIVE_INFINITY;
    private long version;
    private long claimed = Long.MIN_VALUE;
    private int doublings;

    /**
     * @param noticeMs how long discovery may take to tell that a process has ended
     * @param quickMs the same where many have ended
     * @param delayMs added to both: another at each proxy
     */
    public ListDoubt(double noticeMs, double quickMs, double delayMs) {
        this.noticeMs = noticeMs;
        this.quickMs = quickMs;
        this.delayMs = delayMs;
        calm();
    }

    /**
     * Discovery has answered.
     *
     * @param seq the list's version
     * @param whole whether with the whole list, else with what has changed, perhaps nothing
     */
    public void told(long seq, boolean whole, Collection<Member> members) {
        version = seq;
        if (seq >= claimed && behindAt < Double.POSITIVE_INFINITY) {
            behindAt = Double.POSITIVE_INFINITY;
            doublings = 0;
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
        firstAt = manyAt = Double.POSITIVE_INFINITY;
    }

    /** A server refused a connection. @return whether {@link #dueAt} is earlier than before */
    public boolean refused(double now, int server) {
        if (!ready.contains(server) || !refusing.add(server)) {
            return false;
        }
        double before = dueAt();
        firstAt = Math.min(firstAt, now);
        if (refusing.size() >= Math.max(LEAST_MANY, ready.size() / MANY_OF)) {
            manyAt = Math.min(manyAt, now);
        }
        return dueAt() < before;
    }

    /** A server has taken a connection: its process runs. */
    public void connected(int server) {
        if (refusing.remove(server) && refusing.isEmpty()) {
            calm();
        }
    }

    /** Another proxy says that it has this version. @return whether {@link #dueAt} is earlier than before */
    public boolean claimed(double now, long seq) {
        if (seq <= Math.max(version, claimed)) {
            return false;
        }
        double before = dueAt();
        claimed = seq;
        behindAt = Math.min(behindAt, now);
        return dueAt() < before;
    }

    /** Discovery begins to count anew, so that what others have claimed says nothing. */
    public void forgetVersions() {
        claimed = Long.MIN_VALUE;
        behindAt = Double.POSITIVE_INFINITY;
    }

    /** When to ask anew, if nothing is told until then; infinite: no need is seen. */
    public double dueAt() {
        return Math.min(firstAt + noticeMs * (1 << doublings), Math.min(manyAt, behindAt) + quickMs * (1 << doublings)) + delayMs;
    }

    /** Whether to ask anew now; if so it counts as done. */
    public boolean ask(double now) {
        if (now < dueAt()) {
            return false;
        }
        doublings = Math.min(MOST_DOUBLINGS, doublings + 1);
        calm();
        // The new call may fall silent, too. What discovery never has, nobody can have got from it.
        behindAt = doublings < MOST_DOUBLINGS && behindAt < Double.POSITIVE_INFINITY ? now : Double.POSITIVE_INFINITY;
        return true;
    }
}
