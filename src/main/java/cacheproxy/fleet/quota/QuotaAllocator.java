package cacheproxy.fleet.quota;

import cacheproxy.fleet.quota.QuotaMessage.Entry;
import cacheproxy.fleet.quota.QuotaMessage.Kind;
import cacheproxy.fleet.quota.SentRequests.Sent;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongPredicate;

/**
 * The allocator role of one proxy: solicits donations for requested quotas, and grants the amounts that its ledgers
 * cover.
 */
final class QuotaAllocator {
    /** Donations that arrive within this time are granted together. */
    private static final double DONATION_BATCH_MS = 4;
    /** One in this many solicitations goes to all peers, including those that are assumed to have failed. */
    private static final int SOLICITATIONS_PER_BROADCAST = 6;

    private final long selfId;
    private final long ledgerId;
    private final QuotaTiming timing;
    private final RequestIds ids;
    private final AllocatorLeases leases;
    private final LongPredicate isLikelyAlive;
    private final QuotaMessageSender sender;
    private final Map<Long, AllocationLedger> ledgers = new HashMap<>();
    private final SentRequests solicitations = new SentRequests();
    private List<Long> peers = List.of();
    private int solicitationCount;
    private double solicitAtMs;
    private double allocateAtMs = Double.POSITIVE_INFINITY;

    QuotaAllocator(AllocationContext context, QuotaMessageSender sender) {
        selfId = context.selfId();
        ledgerId = context.ledgerId();
        timing = context.timing();
        ids = context.ids();
        leases = context.leases();
        isLikelyAlive = context.isLikelyAlive();
        this.sender = sender;
    }

    /** Sets the peers that donations are solicited from, including this process. */
    void setPeers(List<Long> newPeers) {
        peers = List.copyOf(newPeers);
    }

    /**
     * Updates the definition of a quota if there is a ledger for it. Ledgers of other quotas are kept until all their
     * entries have expired.
     */
    void configure(long quotaId, QuotaSpec spec, double sharedPool) {
        AllocationLedger ledger = ledgers.get(quotaId);
        if (ledger != null) {
            ledger.configure(spec, sharedPool);
        }
    }

    /** Returns the ledger of a quota; creates it if there is none. */
    AllocationLedger ledger(long quotaId, QuotaSpec spec, double sharedPool) {
        AllocationLedger known = ledgers.get(quotaId);
        if (known != null) {
            return known;
        }
        AllocationLedger ledger = new AllocationLedger(timing);
        ledger.configure(spec, sharedPool);
        ledgers.put(quotaId, ledger);
        return ledger;
    }

    /** Schedules an allocation for the next tick, because requests have arrived. */
    void scheduleAllocation(double nowMs) {
        allocateAtMs = Math.min(allocateAtMs, nowMs);
    }

    /**
     * Schedules a solicitation for the next tick, because a quota has been requested for which no donations have been
     * solicited yet.
     */
    void scheduleSolicitation(double nowMs) {
        solicitAtMs = nowMs;
    }

    /** Forgets solicitations whose donations are no longer accepted. */
    void forgetSolicitations(double nowMs) {
        solicitations.forget(nowMs, timing.grantMs());
    }

    /** Handles a donation; ignored if it is for another ledger or its solicitation has been forgotten. */
    void receiveDonation(double nowMs, long from, QuotaMessage donation) {
        Optional<Sent> solicited = solicitations.find(donation.requestId());
        if (donation.ledgerId() != ledgerId || solicited.isEmpty()) {
            return;
        }
        for (Entry entry : donation.entries()) {
            AllocationLedger ledger = ledgers.get(entry.quotaId());
            if (ledger != null) {
                ledger.recordDonation(from, entry.amount(), solicited.get().atMs());
            }
        }
        allocateAtMs = Math.min(allocateAtMs, nowMs + DONATION_BATCH_MS);
    }

    /** Performs the steps that are due. */
    void tick(double nowMs) {
        if (nowMs >= solicitAtMs) {
            solicit(nowMs);
            solicitAtMs = nowMs + timing.requestIntervalMs();
        }
        if (nowMs >= allocateAtMs) {
            allocate(nowMs);
        }
    }

    /** Returns the latest time at which {@link #tick} must be called. */
    double nextMs() {
        return Math.min(solicitAtMs, allocateAtMs);
    }

    private void solicit(double nowMs) {
        ledgers.values().removeIf(ledger -> ledger.removeExpired(nowMs));
        List<Entry> requested = new ArrayList<>();
        ledgers.forEach((quotaId, ledger) -> {
            if (ledger.spec().staticFraction() > 0 && ledger.isRequested(nowMs)) {
                requested.add(new Entry(quotaId, 0));
            }
        });
        solicitationCount++;
        boolean isBroadcast = solicitationCount % SOLICITATIONS_PER_BROADCAST == 0;
        for (List<Entry> batch : QuotaBatches.of(requested)) {
            if (solicitations.isFull()) {
                return;
            }
            long requestId = ids.next();
            solicitations.add(requestId, new Sent(nowMs, selfId));
            QuotaMessage message = new QuotaMessage(Kind.SOLICIT, ledgerId, requestId, 0, batch);
            peers.stream()
                    .filter(peer -> isBroadcast || peer == selfId || isLikelyAlive.test(peer))
                    .forEach(peer -> sender.send(peer, message));
        }
    }

    /** Identifies the grants that are sent in one message: replies to one request, under one epoch. */
    private record GrantKey(long peer, long requestId, long epoch) {}

    private void allocate(double nowMs) {
        allocateAtMs = Double.POSITIVE_INFINITY;
        Map<GrantKey, List<Entry>> granted = new LinkedHashMap<>();
        ledgers.forEach((quotaId, ledger) -> {
            long epoch = leases.sharedPoolEpoch(ledger.spec(), quotaId, nowMs);
            for (AllocationLedger.Grant grant : ledger.allocate(nowMs, epoch != AllocatorLeases.NO_EPOCH)) {
                granted.computeIfAbsent(new GrantKey(grant.peer(), grant.requestId(), epoch), key -> new ArrayList<>())
                        .add(new Entry(quotaId, grant.amount()));
            }
        });
        granted.forEach((key, entries) -> QuotaBatches.of(entries)
                .forEach(batch -> sender.send(
                        key.peer(), new QuotaMessage(Kind.GRANT, ledgerId, key.requestId(), key.epoch(), batch))));
    }
}
