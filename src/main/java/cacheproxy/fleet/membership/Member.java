package cacheproxy.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/** The state of one member as this process knows it. */
final class Member {
    /** The number of confirmations of a suspicion beyond which further ones have no effect. */
    static final int MAX_CONFIRMATIONS = 3;

    private static final int MAX_ACCUSERS = MAX_CONFIRMATIONS + 1;

    private MemberStatus status = MemberStatus.ALIVE;
    private int incarnation;
    private double statusSinceMs;
    private final Set<Long> accusers = new HashSet<>();
    private int transmissions;

    private Member(double statusSinceMs, int transmissions) {
        this.statusSinceMs = statusSinceMs;
        this.transmissions = transmissions;
    }

    /** Creates a configured peer, which is assumed to be alive; this assumption is not gossiped. */
    static Member configured(double nowMs) {
        return new Member(nowMs, Integer.MAX_VALUE);
    }

    /** Creates the state of this process itself. */
    static Member self() {
        return new Member(0, 0);
    }

    /** Returns its status as known to this process. */
    MemberStatus status() {
        return status;
    }

    /** Returns its newest known incarnation. */
    int incarnation() {
        return incarnation;
    }

    /** Returns when its status last changed or its suspicion was restarted. */
    double statusSinceMs() {
        return statusSinceMs;
    }

    /** Returns how many members suspect it, at most {@code MAX_CONFIRMATIONS + 1}. */
    int accusers() {
        return accusers.size();
    }

    /** Returns how often its latest update was gossiped. */
    int transmissions() {
        return transmissions;
    }

    /** Counts one more transmission of its update. */
    void countTransmission() {
        transmissions++;
    }

    /** Resets the count of transmissions, so that its update is gossiped as if it were new. */
    void resetTransmissions() {
        transmissions = 0;
    }

    /** Overrides all that is known about it. */
    void overrideState(MemberStatus newStatus, int newIncarnation, double nowMs) {
        status = newStatus;
        incarnation = newIncarnation;
        statusSinceMs = nowMs;
        accusers.clear();
        resetTransmissions();
    }

    /** Raises the incarnation of this process above one that others have gossiped, which refutes their updates. */
    void raiseIncarnationAbove(int refutedIncarnation) {
        incarnation = refutedIncarnation + 1;
        resetTransmissions();
    }

    /** Restarts the suspicion of it, with the same accusers. */
    void restartSuspicion(double nowMs) {
        statusSinceMs = nowMs;
    }

    /** Records that a member suspects one of its incarnations. */
    void suspect(long accuser, int suspectedIncarnation, double nowMs) {
        if (suspectedIncarnation > incarnation || status == MemberStatus.ALIVE) {
            overrideState(MemberStatus.SUSPECT, suspectedIncarnation, nowMs);
        }
        if (status == MemberStatus.SUSPECT && accusers.size() < MAX_ACCUSERS && accusers.add(accuser)) {
            resetTransmissions(); // each further accuser shortens the suspicion, so it must be gossiped
        }
    }
}
