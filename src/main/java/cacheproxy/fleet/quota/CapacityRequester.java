package cacheproxy.fleet.quota;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.quota.QuotaMessage.Entry;
import cacheproxy.fleet.quota.QuotaMessage.Kind;
import cacheproxy.fleet.quota.SentRequests.Sent;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Requests capacity for the quotas that need more than their share, and gives back grants that are not needed. */
final class CapacityRequester {
    private final AllocationContext context;
    private final SentRequests requests;
    private final AllocatorSelector selector;
    private final QuotaMessageSender sender;

    CapacityRequester(
            AllocationContext context, SentRequests requests, AllocatorSelector selector, QuotaMessageSender sender) {
        this.context = context;
        this.requests = requests;
        this.selector = selector;
        this.sender = sender;
    }

    /** Returns when and to whom a request was sent; empty if its reply is no longer accepted. */
    Optional<Sent> find(long requestId) {
        return requests.find(requestId);
    }

    /**
     * Sends requests for all quotas that need capacity or hold a grant; those to the same allocator are sent in one
     * message if they fit.
     */
    void sendRequests(Map<Long, LocalQuota> localQuotas, double nowMs) {
        requests.forget(nowMs, context.timing().grantMs());
        entriesByAllocator(localQuotas, nowMs).forEach((to, entries) -> {
            for (List<Entry> batch : QuotaBatches.of(entries)) {
                long requestId = context.ids().next();
                if (requests.isFull()) {
                    continue;
                }
                requests.add(requestId, new Sent(nowMs, to));
                batch.forEach(
                        entry -> localQuotas.get(entry.quotaId()).recordRequest(entry.amount(), requestId, nowMs));
                sender.send(to, new QuotaMessage(Kind.REQUEST, context.ledgerId(), requestId, 0, batch));
            }
        });
    }

    private Map<Long, List<Entry>> entriesByAllocator(Map<Long, LocalQuota> localQuotas, double nowMs) {
        AllocatorLeases leases = context.leases();
        Map<Long, List<Entry>> byAllocator = new LinkedHashMap<>();
        long[] selected = new long[leases.size()]; // one selection for all quotas of a lease
        localQuotas.forEach((id, localQuota) -> {
            double shortfall = localQuota.shortfall(nowMs);
            if (shortfall > 0 || localQuota.holdsGrant(nowMs)) {
                int index = leases.indexOf(id);
                LeaseHandle lease = leases.get(index);
                if (selected[index] == NameHash.NO_ID) {
                    selected[index] = selector.select(lease, nowMs);
                }
                // Without shares there are no donations, and only the lease holder can grant anything.
                long to = localQuota.spec().staticFraction() > 0
                        ? selected[index]
                        : selector.holderOrElse(lease, selected[index], nowMs);
                byAllocator.computeIfAbsent(to, key -> new ArrayList<>()).add(new Entry(id, shortfall));
            }
        });
        return byAllocator;
    }
}
