package cacheproxy.fleet.membership;

import java.util.HashSet;
import java.util.Set;

/** The state of one member as this process knows it. */
final class Member {
    /** Confirmations of a suspicion beyond which more change nothing. */
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

    /** A configured peer, which is taken to be alive; that is no news to gossip. */
    static Member configured(double nowMs) {
        return new Member(nowMs, Integer.MAX_VALUE);
    }

    /** This process itself. */
    static Member self() {
        return new Member(0, 0);
    }

    /** What it is believed to be. */
    MemberStatus status() {
        return status;
    }

    /** Its newest known incarnation. */
    int incarnation() {
        return incarnation;
    }

    /** When its status last changed. */
    double statusSinceMs() {
        return statusSinceMs;
    }

    /** How many members suspect it, at most {@code MAX_CONFIRMATIONS + 1}. */
    int accusers() {
        return accusers.size();
    }

    /** How often its latest update was gossiped. */
    int transmissions() {
        return transmissions;
    }

    /** Its update is gossiped once more. */
    void countTransmission() {
        transmissions++;
    }

    /** Its update is gossiped as if it were new. */
    void resetTransmissions() {
        transmissions = 0;
    }

    /** Overrides all that is known of it. */
    void overrideState(MemberStatus newStatus, int newIncarnation, double nowMs) {
        status = newStatus;
        incarnation = newIncarnation;
        statusSinceMs = nowMs;
        accusers.clear();
        resetTransmissions();
    }

    /** Raises the incarnation of this process, by which it refutes what is said of it. */
    void raiseIncarnationAbove(int refutedIncarnation) {
        incarnation = refutedIncarnation + 1;
        resetTransmissions();
    }

    /** A suspicion against it begins anew, with the same accusers. */
    void restartSuspicion(double nowMs) {
        statusSinceMs = nowMs;
    }

    /** A member suspects one of its incarnations. */
    void suspect(long accuser, int suspectedIncarnation, double nowMs) {
        if (suspectedIncarnation > incarnation || status == MemberStatus.ALIVE) {
            overrideState(MemberStatus.SUSPECT, suspectedIncarnation, nowMs);
        }
        if (status == MemberStatus.SUSPECT && accusers.size() < MAX_ACCUSERS && accusers.add(accuser)) {
            resetTransmissions(); // each further accuser shortens the suspicion, so it is news
        }
    }
}
