package cacheproxy.fleet.membership;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The states of the configured members except this process: applies updates by incarnation and lets suspicions expire.
 * The time for refuting a suspicion becomes shorter with each member that confirms it (Lifeguard's dynamic suspicion
 * timeout).
 */
final class MemberTable {
    private final long ownId;
    private final SwimTiming timing;
    private final LocalHealth health;
    /** In the configured order, which determines the order of gossip. */
    private final Map<Long, Member> members = new LinkedHashMap<>();

    MemberTable(long ownId, SwimTiming timing, LocalHealth health) {
        this.ownId = ownId;
        this.timing = timing;
        this.health = health;
    }

    /** Replaces the configured ids; the states of members that remain configured are kept. */
    void replaceIds(List<Long> ids, double nowMs) {
        members.keySet().retainAll(ids);
        for (long id : ids) {
            if (id != ownId) {
                members.computeIfAbsent(id, newId -> Member.configured(nowMs));
            }
        }
    }

    /** Returns the ids in the configured order. */
    Set<Long> ids() {
        return Collections.unmodifiableSet(members.keySet());
    }

    /** Returns the ids and states in the configured order. */
    Set<Map.Entry<Long, Member>> entries() {
        return Collections.unmodifiableMap(members).entrySet();
    }

    /** Returns whether a member is configured. */
    boolean contains(long id) {
        return members.containsKey(id);
    }

    /** Returns a member; null if it is not configured. */
    Member get(long id) {
        return members.get(id);
    }

    /** Returns the number of configured members. */
    int size() {
        return members.size();
    }

    /** Applies an update that another member has sent about a member other than this process. */
    void apply(MemberUpdate update, long from, double nowMs) {
        Member member = members.get(update.memberId());
        if (member == null) {
            return;
        }
        switch (update.status()) {
            case ALIVE -> {
                if (update.incarnation() > member.incarnation()) {
                    member.overrideState(MemberStatus.ALIVE, update.incarnation(), nowMs);
                }
            }
            case SUSPECT -> {
                if (update.incarnation() >= member.incarnation()) {
                    member.suspect(from, update.incarnation(), nowMs);
                }
            }
            default -> { // DEAD
                if (update.incarnation() >= member.incarnation() && member.status() != MemberStatus.DEAD) {
                    member.overrideState(MemberStatus.DEAD, update.incarnation(), nowMs);
                }
            }
        }
    }

    /** Restarts the full time for refutation of each suspect. */
    void restartSuspicions(double nowMs) {
        for (Member member : members.values()) {
            if (member.status() == MemberStatus.SUSPECT) {
                member.restartSuspicion(nowMs);
            }
        }
    }

    /** Declares suspects dead whose time for refutation has expired. */
    void expireSuspicions(double nowMs) {
        for (Member member : members.values()) {
            if (member.status() == MemberStatus.SUSPECT && nowMs >= expiryMs(member)) {
                member.overrideState(MemberStatus.DEAD, member.incarnation(), nowMs);
            }
        }
    }

    /** Returns when the next suspicion expires; infinite if there is none. */
    double nextExpiryMs() {
        double nextMs = Double.POSITIVE_INFINITY;
        for (Member member : members.values()) {
            if (member.status() == MemberStatus.SUSPECT) {
                nextMs = Math.min(nextMs, expiryMs(member));
            }
        }
        return nextMs;
    }

    private double expiryMs(Member suspect) {
        return suspect.statusSinceMs() + health.scale(suspicionMs(suspect.accusers()));
    }

    private double suspicionMs(int accusers) {
        double confirmedFraction = Math.log(Math.max(1, accusers)) / Math.log(Member.MAX_CONFIRMATIONS + 1);
        return timing.maxSuspicionMs()
                - (timing.maxSuspicionMs() - timing.minSuspicionMs()) * Math.min(1, confirmedFraction);
    }
}
