package cacheproxy.fleet.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * An allocator's account of one quota: who has donated, who has requested, and which grants are outstanding.
 *
 * <p>A grant must be covered when it is made: by donations that outlast it, and by the shared pool while the allocator
 * holds the lease. All grants that have not expired count, whether they arrived or not. So all proxies together spend
 * no more than the quota, however many allocators there are and whichever messages are lost.
 */
final class AllocationLedger {
    /** Requests are removed after this many durations of a grant. */
    private static final double REQUEST_EXPIRY_GRANTS = 2;
    /** A larger grant is sent before the next request if it grows by this fraction of the requested amount. */
    private static final double MIN_INCREASE_FRACTION = 0.02;
    /** Tolerance that keeps rounding errors from turning a whole number into the next lower one. */
    private static final double ROUNDING = 1e-6;

    private static final double NOT_GRANTED = -1;

    private static final class PendingRequest {
        double amount;
        long incarnation;
        long requestId;
        double receivedMs;
        /** The amount granted in reply to this request; {@link #NOT_GRANTED} before the first reply. */
        double granted;
    }

    /**
     * A grant to be sent.
     *
     * @param requestId the request that it replies to
     */
    record Grant(long peer, long requestId, double amount) {}

    private final QuotaTiming timing;
    private final Map<Long, OutstandingAmounts> donations = new HashMap<>();
    private final Map<Long, OutstandingAmounts> grants = new HashMap<>();
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private QuotaSpec spec;
    private double sharedPool;

    AllocationLedger(QuotaTiming timing) {
        this.timing = timing;
    }

    /**
     * Sets the definition of the quota.
     *
     * @param newSharedPool the part of the quota that is in no proxy's share
     */
    void configure(QuotaSpec newSpec, double newSharedPool) {
        spec = newSpec;
        sharedPool = newSharedPool;
    }

    /** Returns the definition in use. */
    QuotaSpec spec() {
        return spec;
    }

    /**
     * Records a peer's request. The peer thereby gives up what it holds beyond this amount.
     *
     * @param incarnation the incarnation of the peer's process; a restarted process cannot give up what its predecessor
     *     held
     */
    void recordRequest(double nowMs, long peer, long incarnation, double amount, long requestId) {
        PendingRequest request = requests.computeIfAbsent(peer, id -> new PendingRequest());
        boolean isSameProcess = request.incarnation == incarnation;
        if (isSameProcess && requestId <= request.requestId) {
            return; // a later request has arrived before this one
        }
        OutstandingAmounts outstanding = grants.get(peer);
        if (outstanding != null && isSameProcess) {
            outstanding.cap(amount);
        }
        request.incarnation = incarnation;
        request.amount = Math.min(amount, spec.amount());
        request.requestId = requestId;
        request.receivedMs = nowMs;
        request.granted = NOT_GRANTED;
    }

    /**
     * Records a peer's donation.
     *
     * @param solicitedMs when the donation was solicited; its validity is counted from then
     */
    void recordDonation(long peer, double amount, double solicitedMs) {
        donations
                .computeIfAbsent(peer, id -> new OutstandingAmounts(false))
                .add(Math.min(amount, spec.amount()), solicitedMs + timing.donationUsableMs(spec));
    }

    /** Returns whether any peer has requested capacity recently. */
    boolean isRequested(double nowMs) {
        return requests.values().stream().anyMatch(request -> isRecent(nowMs, request));
    }

    private boolean isRecent(double nowMs, PendingRequest request) {
        return nowMs - request.receivedMs <= timing.grantMs() && request.amount > 0;
    }

    /** Removes all that has expired; returns whether the ledger is empty. */
    boolean removeExpired(double nowMs) {
        donations.values().removeIf(donation -> donation.removeExpired(nowMs));
        grants.values().removeIf(grant -> grant.removeExpired(nowMs));
        requests.values().removeIf(request -> nowMs - request.receivedMs > REQUEST_EXPIRY_GRANTS * timing.grantMs());
        return donations.isEmpty() && grants.isEmpty() && requests.isEmpty();
    }

    /** Returns the amount that covers grants made now until they expire. */
    private double covered(double nowMs, boolean holdsLease) {
        double untilMs = nowMs + timing.outstandingMs(spec);
        double sum = holdsLease ? sharedPool : 0;
        for (OutstandingAmounts donation : donations.values()) {
            sum += donation.amountAt(untilMs);
        }
        return sum;
    }

    /** Returns the sum of all grants that have not expired. */
    double outstanding(double nowMs) {
        double sum = 0;
        for (OutstandingAmounts grant : grants.values()) {
            sum += grant.amountAt(nowMs);
        }
        return sum;
    }

    /**
     * Distributes the covered amount by max-min fairness: makes a grant for each request without a reply, and for each
     * request that can be granted notably more.
     *
     * @param holdsLease whether the shared pool may be granted as well
     */
    List<Grant> allocate(double nowMs, boolean holdsLease) {
        List<Map.Entry<Long, PendingRequest>> recent = new ArrayList<>();
        requests.entrySet().stream()
                .filter(entry -> isRecent(nowMs, entry.getValue()))
                .forEach(recent::add);
        List<Grant> newGrants = new ArrayList<>();
        if (recent.isEmpty()) {
            return newGrants;
        }
        double covered = covered(nowMs, holdsLease);
        double outstanding = outstanding(nowMs);
        double[] requested =
                recent.stream().mapToDouble(entry -> entry.getValue().amount).toArray();
        double fairLevel = MaxMinFairness.fairLevel(requested, covered);
        for (Map.Entry<Long, PendingRequest> entry : recent) {
            PendingRequest request = entry.getValue();
            OutstandingAmounts peerGrants = grants.computeIfAbsent(entry.getKey(), id -> new OutstandingAmounts(true));
            double before = peerGrants.amountAt(nowMs);
            double available = Math.max(0, covered - (outstanding - before));
            double amount = roundDownIfConcurrent(Math.min(Math.min(request.amount, fairLevel), available));
            if (isWorthSending(request, amount)) {
                request.granted = amount;
                peerGrants.add(amount, nowMs + timing.outstandingMs(spec));
                outstanding += peerGrants.amountAt(nowMs) - before;
                newGrants.add(new Grant(entry.getKey(), request.requestId, amount));
            }
        }
        return newGrants;
    }

    private double roundDownIfConcurrent(double amount) {
        return spec.concurrent() ? Math.floor(amount + ROUNDING) : amount;
    }

    private boolean isWorthSending(PendingRequest request, double amount) {
        double minIncrease = Math.max(spec.concurrent() ? 1 : 0, MIN_INCREASE_FRACTION * request.amount);
        return request.granted < 0 || amount >= request.granted + minIncrease;
    }
}
