package cacheproxy.fleet.lease;

import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * One process's votes: it grants each lease to one peer at a time until that peer's grant has expired in true time.
 *
 * <p>Nothing is stored. After a start the voter is silent until each grant that an earlier process may have made has
 * expired (PaxosLease).
 */
public final class LeaseVoter {
    /**
     * Maximum number of leases that are granted; claims for further leases are ignored, so that made-up names displace
     * no grant.
     */
    public static final int MAX_LEASES = 4096;

    private final LeaseTiming timing;
    private final double silentUntilMs;
    private final Map<Long, Grant> grants = new HashMap<>();

    private static final class Grant {
        long holder = NameHash.NO_ID;
        /** The incarnation of the holder's process: a later process of the same name is a different holder. */
        long incarnation;

        long epoch;
        double untilMs = Double.NEGATIVE_INFINITY;

        boolean isHeldBy(long peer, long peerIncarnation) {
            return holder == peer && incarnation == peerIncarnation;
        }

        boolean isActive(double nowMs) {
            return nowMs < untilMs;
        }
    }

    /**
     * Creates a voter without grants.
     *
     * @param startMs when the process started, by its monotonic clock
     */
    public LeaseVoter(LeaseTiming timing, double startMs) {
        this.timing = timing;
        silentUntilMs = startMs + timing.startupSilenceMs();
    }

    /** Returns the reply to a peer's query, claim or release; empty if there is none. */
    public Optional<LeaseMessage> respond(double nowMs, long from, LeaseMessage message) {
        if (nowMs < silentUntilMs) {
            return Optional.empty();
        }
        Grant grant = grants.get(message.leaseId());
        return switch (message.kind()) {
            case QUERY -> Optional.of(report(Kind.STATUS, nowMs, from, message, grant));
            case CLAIM -> claim(nowMs, from, message, grant);
            case RELEASE -> {
                release(from, message, grant);
                yield Optional.empty();
            }
            default -> Optional.empty();
        };
    }

    private static void release(long from, LeaseMessage message, Grant grant) {
        if (grant != null && grant.isHeldBy(from, message.holder()) && grant.epoch == message.epoch()) {
            grant.untilMs = Double.NEGATIVE_INFINITY;
        }
    }

    private Optional<LeaseMessage> claim(double nowMs, long from, LeaseMessage claim, Grant known) {
        boolean isValid = claim.durationMs() > 0 && claim.durationMs() <= timing.maxLeaseMs();
        if (!isValid || (known == null && grants.size() >= MAX_LEASES)) {
            return Optional.empty();
        }
        if (known != null && mustReject(nowMs, from, claim, known)) {
            return Optional.of(report(Kind.REJECT, nowMs, from, claim, known));
        }
        Grant grant = grants.computeIfAbsent(claim.leaseId(), id -> new Grant());
        grant.holder = from;
        grant.incarnation = claim.holder();
        grant.epoch = claim.epoch();
        grant.untilMs = nowMs + timing.voterLeaseMs(claim.durationMs());
        return Optional.of(
                new LeaseMessage(Kind.GRANT, claim.leaseId(), claim.nonce(), claim.epoch(), from, claim.durationMs()));
    }

    private static boolean mustReject(double nowMs, long from, LeaseMessage claim, Grant grant) {
        if (grant.isHeldBy(from, claim.holder())) {
            return claim.epoch() < grant.epoch;
        }
        return grant.isActive(nowMs) || claim.epoch() <= grant.epoch;
    }

    private static LeaseMessage report(Kind kind, double nowMs, long from, LeaseMessage request, Grant grant) {
        boolean heldByOther = grant != null && grant.isActive(nowMs) && !grant.isHeldBy(from, request.holder());
        return new LeaseMessage(
                kind,
                request.leaseId(),
                request.nonce(),
                grant == null ? 0 : grant.epoch,
                heldByOther ? grant.holder : NameHash.NO_ID,
                heldByOther ? (int) Math.min(Integer.MAX_VALUE, Math.ceil(grant.untilMs - nowMs)) : 0);
    }

    /** Returns the number of leases that have ever been granted. */
    public int size() {
        return grants.size();
    }

    /** Returns whether no peer but this one can be granted the lease now; also true while the voter is silent. */
    boolean reservesFor(double nowMs, long leaseId, long peer) {
        Grant grant = grants.get(leaseId);
        return nowMs < silentUntilMs || (grant != null && grant.holder == peer && grant.isActive(nowMs));
    }

    /** Returns the whole state in a fixed order, for a model checker. */
    String fingerprint(double nowMs) {
        StringBuilder text = new StringBuilder();
        if (nowMs < silentUntilMs) {
            text.append("silent ").append(Math.round(silentUntilMs - nowMs));
        }
        grants.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(entry -> append(text, nowMs, entry.getKey(), entry.getValue()));
        return text.toString();
    }

    private static void append(StringBuilder text, double nowMs, long leaseId, Grant grant) {
        text.append(';').append(leaseId);
        text.append(' ').append(grant.holder);
        text.append(' ').append(grant.incarnation);
        text.append(' ').append(grant.epoch);
        text.append(' ').append(Math.max(0, Math.round(grant.untilMs - nowMs)));
    }
}
