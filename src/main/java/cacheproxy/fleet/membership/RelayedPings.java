package cacheproxy.fleet.membership;

import java.util.HashMap;
import java.util.Map;

/** Pings that other members have asked this one to send, by the sequence number of the relayed ping. */
final class RelayedPings {
    /** Maximum number of pending relayed pings; further requests are ignored. */
    static final int MAX_PENDING = 256;
    /** Fraction of the ack timeout after which the requester is notified that the target has not answered. */
    private static final double NACK_DELAY_FACTOR = 0.8;

    /**
     * A ping on behalf of another member.
     *
     * @param requester the member that asked for it
     * @param requestNumber the requester's sequence number
     * @param target the member that was pinged
     */
    record RelayedPing(long requester, long requestNumber, long target) {}

    private static final class Pending {
        final RelayedPing ping;
        final double nackAtMs;
        final double expiresAtMs;
        boolean nackSent;

        Pending(RelayedPing ping, double nackAtMs, double expiresAtMs) {
            this.ping = ping;
            this.nackAtMs = nackAtMs;
            this.expiresAtMs = expiresAtMs;
        }
    }

    /** Sends a NACK to the requester of a relayed ping. */
    @FunctionalInterface
    interface NackSender {
        /** Notifies the requester that the target has not answered so far. */
        void sendNack(RelayedPing ping);
    }

    private final SwimTiming timing;
    private final LocalHealth health;
    private final Map<Long, Pending> pending = new HashMap<>();

    RelayedPings(SwimTiming timing, LocalHealth health) {
        this.timing = timing;
        this.health = health;
    }

    /** Returns whether no further ping may be added. */
    boolean isFull() {
        return pending.size() >= MAX_PENDING;
    }

    /** Records a ping that is sent under a sequence number. */
    void add(long sequenceNumber, RelayedPing ping, double nowMs) {
        double nackAtMs = nowMs + timing.ackTimeoutMs() * NACK_DELAY_FACTOR;
        double expiresAtMs = nowMs + health.scale(timing.periodMs());
        pending.put(sequenceNumber, new Pending(ping, nackAtMs, expiresAtMs));
    }

    /** Removes and returns the ping that a member's ACK answers; null if there is none. */
    RelayedPing acknowledge(long sequenceNumber, long from) {
        Pending acknowledged = pending.get(sequenceNumber);
        if (acknowledged == null || acknowledged.ping.target() != from) {
            return null;
        }
        pending.remove(sequenceNumber);
        return acknowledged.ping;
    }

    /** Forgets expired pings and sends the NACKs that are due. */
    void tick(double nowMs, NackSender sender) {
        pending.values().removeIf(relayed -> nowMs >= relayed.expiresAtMs);
        for (Pending relayed : pending.values()) {
            if (nowMs >= relayed.nackAtMs && !relayed.nackSent) {
                relayed.nackSent = true;
                sender.sendNack(relayed.ping);
            }
        }
    }

    /** Returns when {@link #tick} must be called next; infinite if nothing is pending. */
    double nextDueMs() {
        double nextMs = Double.POSITIVE_INFINITY;
        for (Pending relayed : pending.values()) {
            nextMs = Math.min(nextMs, relayed.nackSent ? relayed.expiresAtMs : relayed.nackAtMs);
        }
        return nextMs;
    }

    /** Forgets all pings without notifying their requesters. */
    void clear() {
        pending.clear();
    }
}
