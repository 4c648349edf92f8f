package cacheproxy.fleet.membership;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The failure detector: in each period it pings one member, asks others to ping that member if the answer is late, and
 * suspects the member at the end of the period if no answer has arrived. Members are pinged in random order, each once
 * per round, so that a failure is detected within a bounded time (SWIM, section 4.3).
 */
final class ProbeCycle {
    private static final long NO_TARGET = 0;

    /** Numbers and sends the messages of the failure detector. */
    interface ProbeSender {
        /** Returns a sequence number that no other message of this process has. */
        long nextSequenceNumber();

        /** Sends a message. */
        void send(long to, SwimMessageKind kind, long sequenceNumber, long target);
    }

    private final long ownId;
    private final SwimTiming timing;
    private final LocalHealth health;
    private final MemberTable members;
    private final SplittableRandom random;
    private final ProbeSender sender;
    /** Members that are still to be pinged in this round, from the last to the first. */
    private final List<Long> remainingInRound = new ArrayList<>();

    private long target = NO_TARGET;
    private long sequenceNumber;
    private double indirectPingsAtMs = Double.POSITIVE_INFINITY;
    private double nextPeriodMs;
    private int pingRequests;
    private int nacks;

    /** The dependencies of a probe cycle. */
    record Context(long ownId, SwimTiming timing, LocalHealth health, MemberTable members, SplittableRandom random) {}

    ProbeCycle(Context context, ProbeSender sender, double nowMs) {
        ownId = context.ownId;
        timing = context.timing;
        health = context.health;
        members = context.members;
        random = context.random;
        this.sender = sender;
        nextPeriodMs = randomPeriodStart(nowMs);
    }

    /** Returns a random time within a period, which spreads the pings of the members. */
    private double randomPeriodStart(double nowMs) {
        return nowMs + timing.periodMs() * random.nextDouble();
    }

    /** Forgets members that are no longer configured. */
    void retainMembers(List<Long> ids) {
        remainingInRound.retainAll(ids);
    }

    /** Abandons the current ping without a result and starts again at a random time within a period. */
    void restart(double nowMs) {
        target = NO_TARGET;
        indirectPingsAtMs = Double.POSITIVE_INFINITY;
        nextPeriodMs = randomPeriodStart(nowMs);
    }

    /** Sends the messages that are due. */
    void tick(double nowMs) {
        if (nowMs >= indirectPingsAtMs) {
            indirectPingsAtMs = Double.POSITIVE_INFINITY;
            requestIndirectPings();
        }
        if (nowMs >= nextPeriodMs) {
            endPeriod(nowMs);
            beginPeriod(nowMs);
        }
    }

    /** Returns when {@link #tick} must be called next. */
    double nextDueMs() {
        return Math.min(nextPeriodMs, indirectPingsAtMs);
    }

    /** Handles an ACK for a member; ignored if it answers another ping. */
    void acknowledge(long ackNumber, long ackTarget) {
        if (ackNumber == sequenceNumber && target != NO_TARGET && ackTarget == target) {
            target = NO_TARGET;
            indirectPingsAtMs = Double.POSITIVE_INFINITY;
            health.adjustScore(-1);
        }
    }

    /** Handles a NACK: the member that was asked to ping is alive, and the target did not answer it. */
    void countNack(long nackNumber, long nackTarget) {
        if (nackNumber == sequenceNumber && nackTarget == target) {
            nacks++;
        }
    }

    private void beginPeriod(double nowMs) {
        nextPeriodMs = nowMs + health.scale(timing.periodMs());
        if (remainingInRound.isEmpty()) {
            remainingInRound.addAll(members.ids());
            for (int i = remainingInRound.size() - 1; i > 0; i--) {
                Collections.swap(remainingInRound, i, random.nextInt(i + 1));
            }
        }
        if (remainingInRound.isEmpty()) {
            return;
        }
        target = remainingInRound.remove(remainingInRound.size() - 1);
        sequenceNumber = sender.nextSequenceNumber();
        pingRequests = 0;
        nacks = 0;
        indirectPingsAtMs = nowMs + health.scale(timing.ackTimeoutMs());
        sender.send(target, SwimMessageKind.PING, sequenceNumber, target);
    }

    private void requestIndirectPings() {
        if (target == NO_TARGET) {
            return;
        }
        List<Long> candidates = new ArrayList<>(members.ids().stream()
                .filter(id -> id != target && members.get(id).status() == MemberStatus.ALIVE)
                .toList());
        for (int i = 0; i < timing.indirectProbes() && !candidates.isEmpty(); i++) {
            pingRequests++;
            long relay = candidates.remove(random.nextInt(candidates.size()));
            sender.send(relay, SwimMessageKind.PING_REQUEST, sequenceNumber, target);
        }
    }

    private void endPeriod(double nowMs) {
        Member member = members.get(target);
        if (target == NO_TARGET || member == null) {
            return;
        }
        // If relays did not send a NACK either, this process itself may be receiving nothing.
        health.adjustScore(pingRequests > 0 ? pingRequests - nacks : 1);
        boolean suspectsTarget = pingRequests == 0 || nacks > 0 || members.size() == 1 || !health.isWorst();
        if (suspectsTarget) {
            member.suspect(ownId, member.incarnation(), nowMs);
        }
        target = NO_TARGET;
    }
}
