package cacheproxy.fleet.quota;

import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.quota.QuotaMessage.Entry;
import cacheproxy.fleet.quota.QuotaMessage.Kind;
import cacheproxy.fleet.quota.SentRequests.Sent;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;

/**
 * The quotas of a fleet at one of its proxies: the capacity that the proxy may spend ({@link LocalQuota}), its requests
 * for more, and its role as allocator for others ({@link QuotaAllocator}).
 *
 * <p>Quotas are distributed over several leases. Requests go to the holder of a quota's lease first, which alone grants
 * the shared pool. If it does not reply, the next candidate is asked. Any proxy that receives requests acts as
 * allocator: safety depends on donations and not on there being a single allocator. Not thread-safe.
 */
public final class QuotaManager {
    /** Maximum number of quotas of one configuration. */
    public static final int MAX_QUOTAS = 1000;

    /** Minimum interval between urgent requests, which are otherwise sent immediately. */
    private static final double URGENT_INTERVAL_MS = 20;
    /** Minimum interval between inspections of all quotas, however many datagrams arrive. */
    private static final double INSPECTION_INTERVAL_MS = 15;
    /** The interval of requests varies at random between this fraction of it and the whole. */
    private static final double MIN_INTERVAL_FRACTION = 0.9;

    private static final double RANDOM_INTERVAL_FRACTION = 0.1;

    private final long selfId;
    private final QuotaTiming timing;
    private final SplittableRandom random;
    private final QuotaMessageSender sender;
    private final double startMs;
    private final AllocatorLeases leases;
    private final AllocatorSelector selector;
    private final CapacityRequester requester;
    private final QuotaAllocator allocator;
    private final RemovedQuotas removedQuotas;
    private final FencingTokenCheck fencing = new FencingTokenCheck();
    private final Map<Long, LocalQuota> localQuotas = new LinkedHashMap<>();
    /** Messages to this process itself, which are not sent as datagrams. */
    private final ArrayDeque<QuotaMessage> loopback = new ArrayDeque<>();

    private Map<Long, QuotaSpec> specs = Map.of();
    private int peerCount;
    private int proxies = 1;
    private boolean peerListChanging;
    private double requestAtMs;
    private double inspectedMs = Double.NEGATIVE_INFINITY;
    private double lastPeerMessageMs = Double.NEGATIVE_INFINITY;
    private double urgentFromMs = Double.NEGATIVE_INFINITY;
    private boolean urgent;
    private long staleGrants;

    /**
     * Creates a manager without quotas.
     *
     * @param selfId this process's id among the peers
     * @param startMs when the process started
     * @param isLikelyAlive whether a peer may be alive: an estimate that saves time and does not affect safety
     */
    public QuotaManager(
            long selfId,
            QuotaTiming timing,
            SplittableRandom random,
            double startMs,
            LongPredicate isLikelyAlive,
            QuotaMessageSender sender) {
        this.selfId = selfId;
        this.timing = timing;
        this.random = random;
        this.sender = sender;
        this.startMs = startMs;
        long ledgerId = random.nextLong() | 1; // never 0
        RequestIds ids = new RequestIds(random.nextLong());
        leases = new AllocatorLeases(timing, startMs);
        AllocationContext context = new AllocationContext(selfId, ledgerId, timing, ids, leases, isLikelyAlive);
        SentRequests requests = new SentRequests();
        selector = new AllocatorSelector(selfId, timing, requests, isLikelyAlive);
        requester = new CapacityRequester(context, requests, selector, this::send);
        allocator = new QuotaAllocator(context, this::send);
        removedQuotas = new RemovedQuotas(timing);
    }

    // ---- configuration

    /**
     * Applies a configuration.
     *
     * @param newSpecs the quotas
     * @param allocatorLeases the leases that the quotas are distributed over, the same at all proxies; not empty
     * @param peers the proxies that share the quotas, including this one
     * @param proxyCount the number of shares that each quota is divided into; while the list of peers is being changed,
     *     one for each proxy of either list
     * @param isPeerListChanging whether the list of peers is being changed
     * @param ownsShare whether this proxy has a share: a proxy that joins has none until the change is complete, and a
     *     proxy that leaves has none
     * @throws IllegalArgumentException if there are more than {@value #MAX_QUOTAS} quotas or no leases
     */
    public void configure(
            List<QuotaSpec> newSpecs,
            List<LeaseHandle> allocatorLeases,
            List<Long> peers,
            int proxyCount,
            boolean isPeerListChanging,
            boolean ownsShare,
            double nowMs) {
        if (newSpecs.size() > MAX_QUOTAS || allocatorLeases.isEmpty()) {
            throw new IllegalArgumentException(
                    "expected at most " + MAX_QUOTAS + " quotas and at least one allocator lease, but found "
                            + newSpecs.size() + " and " + allocatorLeases.size());
        }
        Map<Long, QuotaSpec> byId = new LinkedHashMap<>();
        newSpecs.forEach(spec -> byId.put(NameHash.of(spec.name()), spec));
        specs = byId;
        leases.configure(allocatorLeases);
        allocator.setPeers(peers);
        peerCount = peers.size();
        proxies = Math.max(1, proxyCount);
        peerListChanging = isPeerListChanging;
        removeObsolete(nowMs);
        byId.forEach((id, spec) -> {
            localQuotas
                    .computeIfAbsent(id, key -> new LocalQuota(spec, timing, removedQuotas.removedAtMs(id, startMs)))
                    .configure(spec, ownsShare ? spec.staticShare(proxies) : 0, nowMs);
            allocator.configure(id, spec, spec.sharedPool(proxies, peerListChanging));
        });
    }

    private void removeObsolete(double nowMs) {
        removedQuotas.forget(nowMs);
        localQuotas.entrySet().removeIf(entry -> {
            QuotaSpec oldSpec = entry.getValue().spec();
            QuotaSpec newSpec = specs.get(entry.getKey());
            removedQuotas.recordInUse(oldSpec);
            boolean isObsolete = newSpec == null || newSpec.concurrent() != oldSpec.concurrent();
            if (isObsolete) {
                removedQuotas.add(entry.getKey(), nowMs);
            }
            return isObsolete;
        });
    }

    /** Returns this proxy's part of a quota; null if there is no quota of this name. */
    public LocalQuota localQuota(String name) {
        return localQuotas.get(NameHash.of(name));
    }

    /**
     * To be called after a client request has been rejected. If notably more capacity is needed than was last
     * requested, it is requested soon and not only after the usual interval.
     *
     * @return whether {@link #tick} should be called soon
     */
    public boolean requestSoon(LocalQuota localQuota, double nowMs) {
        urgent |= localQuota.needsMore(nowMs);
        return urgent;
    }

    // ---- time

    /** Performs the steps that are due; returns the latest time of the next call. */
    public double tick(double nowMs) {
        if (nowMs - inspectedMs >= INSPECTION_INTERVAL_MS) {
            inspectedMs = nowMs;
            localQuotas.values().forEach(localQuota -> inspect(localQuota, nowMs));
        }
        leases.tick(nowMs);
        boolean isUrgentDue = urgent && nowMs >= urgentFromMs;
        if (nowMs >= requestAtMs || isUrgentDue) {
            allocator.forgetSolicitations(nowMs);
            requester.sendRequests(localQuotas, nowMs);
            double fraction = MIN_INTERVAL_FRACTION + RANDOM_INTERVAL_FRACTION * random.nextDouble();
            requestAtMs = nowMs + timing.requestIntervalMs() * fraction;
            urgentFromMs = nowMs + URGENT_INTERVAL_MS;
            urgent = false;
        }
        allocator.tick(nowMs);
        deliverToSelf(nowMs);
        double nextMs = Math.min(requestAtMs, allocator.nextMs());
        return urgent ? Math.min(nextMs, Math.max(nowMs, urgentFromMs)) : nextMs;
    }

    private void inspect(LocalQuota localQuota, double nowMs) {
        localQuota.tick(nowMs);
        urgent |= localQuota.holdsExcessGrant(nowMs) || localQuota.isRequestOverdue(nowMs);
    }

    // ---- messages

    private void send(long to, QuotaMessage message) {
        if (to == selfId) {
            loopback.add(message);
        } else {
            sender.send(to, message);
        }
    }

    /** Handles a message from a peer. */
    public void receive(double nowMs, long from, QuotaMessage message) {
        lastPeerMessageMs = nowMs;
        selector.recordMessage(from, nowMs);
        dispatch(nowMs, from, message);
        deliverToSelf(nowMs);
    }

    private void deliverToSelf(double nowMs) {
        while (!loopback.isEmpty()) {
            dispatch(nowMs, selfId, loopback.remove());
        }
    }

    private void dispatch(double nowMs, long from, QuotaMessage message) {
        switch (message.kind()) {
            case REQUEST -> onRequest(nowMs, from, message);
            case SOLICIT -> onSolicit(nowMs, from, message);
            case DONATE -> allocator.receiveDonation(nowMs, from, message);
            default -> onGrant(nowMs, from, message);
        }
    }

    private void onRequest(double nowMs, long from, QuotaMessage request) {
        boolean needsDonations = false;
        for (Entry entry : request.entries()) {
            QuotaSpec spec = specs.get(entry.quotaId());
            if (spec == null) {
                continue; // the peer has a different configuration
            }
            AllocationLedger ledger =
                    allocator.ledger(entry.quotaId(), spec, spec.sharedPool(proxies, peerListChanging));
            needsDonations |= spec.staticFraction() > 0 && !ledger.isRequested(nowMs);
            ledger.recordRequest(nowMs, from, request.ledgerId(), entry.amount(), request.requestId());
        }
        if (needsDonations) {
            allocator.scheduleSolicitation(nowMs);
        }
        allocator.scheduleAllocation(nowMs);
    }

    private void onSolicit(double nowMs, long from, QuotaMessage solicitation) {
        List<Entry> donations = new ArrayList<>();
        for (Entry entry : solicitation.entries()) {
            LocalQuota localQuota = localQuotas.get(entry.quotaId());
            double amount = localQuota == null ? 0 : localQuota.donate(solicitation.ledgerId(), nowMs);
            if (amount > 0) {
                donations.add(new Entry(entry.quotaId(), amount));
            }
        }
        if (!donations.isEmpty()) {
            send(from, new QuotaMessage(Kind.DONATE, solicitation.ledgerId(), solicitation.requestId(), 0, donations));
        }
    }

    private void onGrant(double nowMs, long from, QuotaMessage grant) {
        Optional<Sent> request = requester.find(grant.requestId());
        if (request.isEmpty()) {
            return;
        }
        for (Entry entry : grant.entries()) {
            LocalQuota localQuota = localQuotas.get(entry.quotaId());
            if (localQuota == null) {
                continue;
            }
            if (grant.epoch() > 0 && !fencing.accepts(entry.quotaId(), grant.epoch())) {
                staleGrants++;
                continue;
            }
            double sentMs = request.get().atMs();
            localQuota.receiveGrant(grant.ledgerId(), entry.amount(), grant.requestId(), sentMs, nowMs);
            if (showsContact(from, grant, nowMs)) {
                localQuota.recordReply(nowMs);
            }
        }
    }

    /**
     * Returns whether a grant shows that this process is not isolated. A grant from itself shows this only if it holds
     * the lease, has no other peers or has recently received messages from others.
     */
    private boolean showsContact(long from, QuotaMessage grant, double nowMs) {
        return from != selfId || grant.epoch() > 0 || peerCount < 2 || nowMs - lastPeerMessageMs <= timing.grantMs();
    }

    // ---- status

    /** Returns the number of grants that were ignored because of an older epoch. */
    public long staleGrants() {
        return staleGrants;
    }

    /** Returns the status of all configured quotas at this proxy. */
    public List<QuotaStatus> statuses(double nowMs) {
        return localQuotas.values().stream()
                .map(localQuota -> localQuota.status(nowMs))
                .toList();
    }
}
