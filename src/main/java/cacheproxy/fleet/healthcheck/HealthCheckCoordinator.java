package cacheproxy.fleet.healthcheck;

import cacheproxy.fleet.healthcheck.PendingRequests.PendingRequest;
import cacheproxy.fleet.healthcheck.RecentChecks.FinishedCheck;
import cacheproxy.fleet.healthcheck.RunningChecks.RunningCheck;
import cacheproxy.fleet.healthcheck.RunningChecks.Waiter;
import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.List;

/**
 * Coordinates the shared health checks at one proxy: requests the checks that this proxy needs from the lease holder of
 * the server's share, makes checks that other proxies request, and makes a check of its own if no result arrives in
 * time or the results of others are unreliable. Times are milliseconds of a monotonic clock. Not thread-safe.
 */
public final class HealthCheckCoordinator {
    /** Maximum number of running checks, beyond which no check is started for other proxies. */
    public static final int MAX_RUNNING = 64;
    /** Maximum number of servers whose results, local or reported, are kept. */
    public static final int MAX_REMEMBERED = 4096;
    /** Fibonacci hashing: 2^32 divided by the golden ratio, so that neighbouring ids are in different shares. */
    private static final int SHARE_MULTIPLIER = 0x9E3779B9;

    private static final int SHARE_SHIFT = 8;

    private final long ownId;
    private final HealthCheckActions actions;
    private final FencingTokenCheck fencing = new FencingTokenCheck();
    private final PendingRequests pending = new PendingRequests();
    private final RunningChecks running = new RunningChecks();
    private final RecentChecks recent = new RecentChecks(MAX_REMEMBERED);
    private final ReportedResults reported = new ReportedResults(MAX_REMEMBERED);
    private HealthCheckTiming timing;
    private List<LeaseHandle> shares;
    private long lastRequestNumber;
    private long ownChecks;
    private long checksForOthers;
    private long reportedResults;
    private long lateResults;
    private long staleEpochResults;

    /**
     * Creates a coordinator without checks.
     *
     * @param ownId this proxy's id
     * @param firstRequestNumber where request numbers begin; random, so that a restarted process does not repeat them
     * @param shares the leases of the shares, the same number at all proxies
     */
    public HealthCheckCoordinator(
            long ownId,
            long firstRequestNumber,
            HealthCheckTiming timing,
            List<LeaseHandle> shares,
            HealthCheckActions actions) {
        this.ownId = ownId;
        this.lastRequestNumber = firstRequestNumber;
        this.actions = actions;
        update(timing, shares);
    }

    /** Replaces the timing and the shares. */
    public void update(HealthCheckTiming newTiming, List<LeaseHandle> newShares) {
        timing = newTiming;
        shares = List.copyOf(newShares);
    }

    /** Returns the share of a server, 0 to {@code shares - 1}, the same at all proxies. */
    public static int shareOf(int server, int shares) {
        return Math.floorMod((server * SHARE_MULTIPLIER) >>> SHARE_SHIFT, shares);
    }

    private LeaseHandle leaseOf(int server) {
        return shares.get(shareOf(server, shares.size()));
    }

    // ---- checks that this proxy needs

    /**
     * Requests a check of a server for this proxy. {@link HealthCheckActions#reportResult} is called once, at the
     * latest when a check that this proxy makes after the result timeout has ended.
     */
    public void request(double nowMs, int server) {
        if (pending.contains(server)) {
            return;
        }
        LeaseHandle lease = leaseOf(server);
        long receiver = receiverOfRequest(nowMs, lease);
        boolean isLocal = receiver == ownId || receiver == NameHash.NO_ID;
        if (isLocal || pending.isFull() || reported.isUnreliableFor(server, nowMs)) {
            checkLocally(nowMs, server);
            return;
        }
        long requestNumber = ++lastRequestNumber;
        pending.add(server, requestNumber, nowMs + timing.resultTimeoutMs());
        actions.send(receiver, HealthCheckMessage.request(lease.id(), server, requestNumber));
    }

    /** Returns the lease holder, or the first other candidate if the holder is not known. */
    private long receiverOfRequest(double nowMs, LeaseHandle lease) {
        if (holdsForCheck(nowMs, lease)) {
            return ownId;
        }
        long holder = lease.holder(nowMs);
        if (holder != NameHash.NO_ID && holder != ownId) {
            return holder;
        }
        return lease.candidateOrder().stream()
                .filter(candidate -> candidate != ownId)
                .findFirst()
                .orElse(NameHash.NO_ID);
    }

    /** Returns whether this proxy holds the lease for as long as a check takes. */
    private boolean holdsForCheck(double nowMs, LeaseHandle lease) {
        return lease.permit(nowMs, timing.checkTimeoutMs()) > LeaseHandle.NOT_PERMITTED;
    }

    private void checkLocally(double nowMs, int server) {
        pending.remove(server);
        ownChecks++;
        RunningCheck check = running.get(server);
        if (check != null) {
            check.requestLocally();
            return;
        }
        running.begin(server, nowMs, timing.checkTimeoutMs()).requestLocally();
        if (!actions.startCheck(server)) {
            running.remove(server);
            reportLocalResult(server, false);
        }
    }

    private void reportLocalResult(int server, boolean healthy) {
        reported.clear(server);
        actions.reportResult(server, healthy);
    }

    // ---- messages

    /** Handles a message from another proxy. */
    public void receive(double nowMs, long from, HealthCheckMessage message) {
        switch (message.kind()) {
            case REQUEST -> receiveRequest(nowMs, from, message);
            case RESULT -> receiveResult(nowMs, message);
            default -> receiveRedirect(nowMs, from, message);
        }
    }

    private void receiveRequest(double nowMs, long from, HealthCheckMessage request) {
        LeaseHandle lease = leaseOf(request.server());
        if (lease.id() != request.leaseId()) {
            return; // the sender has a different number of shares; it will make its own check
        }
        if (!holdsForCheck(nowMs, lease)) {
            long holder = lease.holder(nowMs);
            redirect(from, request, holder == ownId ? NameHash.NO_ID : holder);
            return;
        }
        FinishedCheck last = recent.find(request.server(), nowMs, timing.reuseMs());
        if (last != null) {
            sendResult(nowMs, new Waiter(from, request.requestNumber()), request.server(), last);
            return;
        }
        RunningCheck check = running.get(request.server());
        if (check == null) {
            check = startForOthers(nowMs, request.server());
        }
        if (check == null) {
            redirect(from, request, NameHash.NO_ID);
        } else {
            check.addWaiter(new Waiter(from, request.requestNumber()));
        }
    }

    /** Returns the new check; null if no further check may run or this proxy does not know the server. */
    private RunningCheck startForOthers(double nowMs, int server) {
        RunningCheck check = running.begin(server, nowMs, timing.checkTimeoutMs());
        if (running.size() > MAX_RUNNING || !actions.startCheck(server)) {
            running.remove(server);
            return null;
        }
        checksForOthers++;
        return check;
    }

    private void redirect(long to, HealthCheckMessage request, long leaseHolder) {
        actions.send(to, HealthCheckMessage.redirect(request, leaseHolder));
    }

    /** The epoch is read right before sending: a proxy that lost the lease during the check sends no result. */
    private void sendResult(double nowMs, Waiter waiter, int server, FinishedCheck check) {
        LeaseHandle lease = leaseOf(server);
        long epoch = lease.permit(nowMs, 0);
        if (epoch > LeaseHandle.NOT_PERMITTED) {
            int ageMs = (int) Math.max(0, Math.round(nowMs - check.finishedMs()));
            actions.send(
                    waiter.proxy(),
                    new HealthCheckMessage(
                            HealthCheckMessageKind.RESULT,
                            lease.id(),
                            server,
                            waiter.requestNumber(),
                            epoch,
                            0,
                            check.healthy(),
                            ageMs));
        }
    }

    private void receiveResult(double nowMs, HealthCheckMessage result) {
        PendingRequest request = pending.answeredBy(result);
        if (request == null || nowMs > request.expiresAtMs() || result.ageMs() > timing.maxResultAgeMs()) {
            lateResults++;
            return;
        }
        if (!fencing.accepts(result.leaseId(), result.epoch())) {
            staleEpochResults++;
            return;
        }
        pending.remove(result.server());
        reportedResults++;
        reported.add(result.server(), result.healthy(), nowMs);
        actions.reportResult(result.server(), result.healthy());
    }

    private void receiveRedirect(double nowMs, long from, HealthCheckMessage redirect) {
        PendingRequest request = pending.answeredBy(redirect);
        if (request == null) {
            return;
        }
        long holder = redirect.leaseHolder();
        boolean cannotBeFollowed = holder == NameHash.NO_ID || holder == ownId || holder == from;
        if (cannotBeFollowed || !request.tryFollowRedirect()) {
            checkLocally(nowMs, redirect.server());
        } else {
            actions.send(
                    holder,
                    HealthCheckMessage.request(redirect.leaseId(), redirect.server(), redirect.requestNumber()));
        }
    }

    // ---- checks that this proxy makes

    /** Records that a check of this proxy has ended; ignored if no check of the server is running. */
    public void finished(double nowMs, int server, boolean healthy) {
        RunningCheck check = running.remove(server);
        if (check == null) {
            return;
        }
        FinishedCheck result = new FinishedCheck(nowMs, healthy);
        recent.add(server, result, timing.reuseMs());
        check.waiters().forEach(waiter -> sendResult(nowMs, waiter, server, result));
        if (check.isRequestedLocally()) {
            reportLocalResult(server, healthy);
        }
    }

    /**
     * Discards a check of this proxy that could not be made. It has no result, and the requests that wait for it time
     * out.
     */
    public void abandon(int server) {
        running.remove(server);
    }

    /** Makes the checks whose results did not arrive in time; returns the latest time of the next call. */
    public double tick(double nowMs) {
        List<Integer> expired = pending.expired(nowMs);
        expired.forEach(server -> checkLocally(nowMs, server));
        double nextMs = Math.min(pending.nextExpiryMs(), running.nextOverdueMs(nowMs));
        running.overdue(nowMs).forEach(server -> finished(nowMs, server, false));
        return nextMs;
    }

    /** Returns the counts since the start. */
    public HealthCheckCounts counts() {
        return new HealthCheckCounts(ownChecks, checksForOthers, reportedResults, lateResults, staleEpochResults);
    }
}
