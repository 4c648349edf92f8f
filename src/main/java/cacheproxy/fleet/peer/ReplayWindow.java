package cacheproxy.fleet.peer;

/**
 * Decides which datagrams of one sender are new: only those of its newest incarnation are accepted, and of these each
 * sequence number once, within a sliding window (RFC 4303, section 3.4.3).
 *
 * <p>An older incarnation is accepted again once the newer one has been silent for {@value #INCARNATION_EXPIRY_MS} ms:
 * the sender may have been restarted after its wall clock, which numbers incarnations, was set back.
 */
final class ReplayWindow {
    /**
     * The size of the window: sequence numbers that are lower than the newest one by this much or more are rejected.
     */
    static final int SIZE = 64;
    /** Silence of an incarnation after which an older one is accepted, in ms. */
    static final double INCARNATION_EXPIRY_MS = 10_000;
    /** This many datagrams of an older incarnation cannot all be late arrivals: another process uses the same id. */
    static final int DUPLICATE_ID_THRESHOLD = 20;

    private long incarnation = Long.MIN_VALUE;
    private long newestNumber = -1;
    /** Bit i: the number {@code newestNumber - i} was received. */
    private long receivedBits;

    private double lastReceivedMs = Double.NEGATIVE_INFINITY;
    private int rejectedFromOlderIncarnation;

    /** Returns whether a datagram that arrives at {@code nowMs} is new, and records it as received. */
    boolean accept(long datagramIncarnation, long sequenceNumber, double nowMs) {
        boolean expired = nowMs - lastReceivedMs > INCARNATION_EXPIRY_MS;
        if ((datagramIncarnation < incarnation && !expired) || sequenceNumber < 0) {
            rejectedFromOlderIncarnation++;
            return false;
        }
        lastReceivedMs = nowMs;
        if (datagramIncarnation != incarnation) {
            begin(datagramIncarnation, sequenceNumber);
            return true;
        }
        if (sequenceNumber > newestNumber) {
            advanceTo(sequenceNumber);
            return true;
        }
        return acceptBehindNewest(sequenceNumber);
    }

    private void begin(long newIncarnation, long sequenceNumber) {
        incarnation = newIncarnation;
        newestNumber = sequenceNumber;
        receivedBits = 1;
        rejectedFromOlderIncarnation = 0;
    }

    private void advanceTo(long sequenceNumber) {
        long distance = sequenceNumber - newestNumber;
        receivedBits = distance >= SIZE ? 1 : (receivedBits << distance) | 1;
        newestNumber = sequenceNumber;
    }

    private boolean acceptBehindNewest(long sequenceNumber) {
        long distance = newestNumber - sequenceNumber;
        if (distance >= SIZE || (receivedBits >> distance & 1) != 0) {
            return false;
        }
        receivedBits |= 1L << distance;
        return true;
    }

    /** Returns whether two processes seem to send under this id. */
    boolean hasDuplicateId() {
        return rejectedFromOlderIncarnation >= DUPLICATE_ID_THRESHOLD;
    }
}
