package cacheproxy.fleet.membership;

import cacheproxy.fleet.membership.RelayedPings.RelayedPing;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The membership of one process in a group with a configured list of members: SWIM with Lifeguard, as described in the
 * package documentation. Times are milliseconds of a monotonic clock. Not thread-safe.
 */
public final class SwimMembership {
    /**
     * A {@link #tick} delayed by more than this many periods means that this process was stalled; missing answers then
     * cause no suspicions.
     */
    private static final double STALL_PERIODS = 1;
    /** How much a stall worsens the local health score. */
    private static final int STALL_PENALTY = 2;

    private final long ownId;
    private final SwimTiming timing;
    private final SwimMessageSender sender;
    private final LocalHealth health = new LocalHealth();
    private final Member self = Member.self();
    private final MemberTable members;
    private final UpdateDissemination dissemination;
    private final RelayedPings relayedPings;
    private final ProbeCycle probes;
    private long lastSequenceNumber;
    private double dueMs = Double.NaN;

    /**
     * Creates the membership of a process that knows no members yet.
     *
     * @param ownId this process's id, not 0
     * @param random seeds the first sequence number and the order of pings
     */
    public SwimMembership(
            long ownId, SwimTiming timing, SplittableRandom random, double nowMs, SwimMessageSender sender) {
        this.ownId = ownId;
        this.timing = timing;
        this.sender = sender;
        members = new MemberTable(ownId, timing, health);
        dissemination = new UpdateDissemination(ownId, self, members);
        relayedPings = new RelayedPings(timing, health);
        // Shifted so that the numbers of a process do not overflow.
        lastSequenceNumber = random.nextLong() >>> 2;
        probes = new ProbeCycle(
                new ProbeCycle.Context(ownId, timing, health, members, random), new MembershipProbeSender(), nowMs);
    }

    /** Replaces the configured members; new ones are assumed to be alive. */
    public void updateMembers(List<Long> ids, double nowMs) {
        members.replaceIds(ids, nowMs);
        probes.retainMembers(ids);
        self.resetTransmissions();
    }

    /** Returns the status of a member as known to this process; a member that is not configured is dead. */
    public MemberStatus statusOf(long id) {
        if (id == ownId) {
            return MemberStatus.ALIVE;
        }
        Member member = members.get(id);
        return member == null ? MemberStatus.DEAD : member.status();
    }

    /**
     * Returns the score of this process's own health: 0 (healthy) to 7; its timeouts are multiplied by the score plus
     * one.
     */
    public int localHealthScore() {
        return health.score();
    }

    /** Performs the steps that are due; returns the latest time of the next call. */
    public double tick(double nowMs) {
        if (nowMs - dueMs > STALL_PERIODS * timing.periodMs()) {
            recoverFromStall(nowMs);
        }
        relayedPings.tick(
                nowMs, ping -> send(ping.requester(), SwimMessageKind.NACK, ping.requestNumber(), ping.target()));
        probes.tick(nowMs);
        members.expireSuspicions(nowMs);
        double nextMs = Math.min(probes.nextDueMs(), Math.min(relayedPings.nextDueMs(), members.nextExpiryMs()));
        dueMs = Math.max(nextMs, nowMs);
        return nextMs;
    }

    private void recoverFromStall(double nowMs) {
        probes.restart(nowMs);
        relayedPings.clear();
        members.restartSuspicions(nowMs);
        health.adjustScore(STALL_PENALTY);
    }

    /** Handles a message from another member; ignored if the sender is unknown. */
    public void receive(double nowMs, long from, SwimMessage message) {
        if (!members.contains(from)) {
            return;
        }
        message.updates().forEach(update -> apply(update, from, nowMs));
        switch (message.kind()) {
            case PING -> {
                if (message.target() == ownId) {
                    send(from, SwimMessageKind.ACK, message.sequenceNumber(), ownId);
                }
            }
            case PING_REQUEST -> relayPing(nowMs, from, message);
            case ACK -> receiveAck(from, message);
            default -> probes.countNack(message.sequenceNumber(), message.target());
        }
    }

    private void apply(MemberUpdate update, long from, double nowMs) {
        if (update.memberId() == ownId) {
            refute(update);
        } else {
            members.apply(update, from, nowMs);
        }
    }

    /**
     * Raises the incarnation of this process if it is suspected or declared dead, or if it had a higher one before a
     * restart.
     */
    private void refute(MemberUpdate update) {
        if (update.status() != MemberStatus.ALIVE && update.incarnation() >= self.incarnation()) {
            self.raiseIncarnationAbove(update.incarnation());
            health.adjustScore(1);
        } else if (update.status() == MemberStatus.ALIVE && update.incarnation() > self.incarnation()) {
            self.raiseIncarnationAbove(update.incarnation());
        }
    }

    private void relayPing(double nowMs, long from, SwimMessage request) {
        if (!members.contains(request.target()) || relayedPings.isFull()) {
            return;
        }
        long relayedNumber = ++lastSequenceNumber;
        relayedPings.add(relayedNumber, new RelayedPing(from, request.sequenceNumber(), request.target()), nowMs);
        send(request.target(), SwimMessageKind.PING, relayedNumber, request.target());
    }

    private void receiveAck(long from, SwimMessage ack) {
        RelayedPing relayed = relayedPings.acknowledge(ack.sequenceNumber(), from);
        if (relayed != null) {
            send(relayed.requester(), SwimMessageKind.ACK, relayed.requestNumber(), relayed.target());
        } else {
            probes.acknowledge(ack.sequenceNumber(), ack.target());
        }
    }

    private void send(long to, SwimMessageKind kind, long sequenceNumber, long target) {
        sender.send(to, new SwimMessage(kind, sequenceNumber, target, dissemination.updatesFor(to)));
    }

    private final class MembershipProbeSender implements ProbeCycle.ProbeSender {
        @Override
        public long nextSequenceNumber() {
            return ++lastSequenceNumber;
        }

        @Override
        public void send(long to, SwimMessageKind kind, long sequenceNumber, long target) {
            SwimMembership.this.send(to, kind, sequenceNumber, target);
        }
    }
}
