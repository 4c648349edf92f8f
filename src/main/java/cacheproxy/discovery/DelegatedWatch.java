package cacheproxy.discovery;

import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.LeaseHandle;
import java.util.SplittableRandom;

/**
 * Decides whether a proxy long-polls discovery or leaves that to the lease holder of its zone. The lease holder always
 * long-polls, and sends the version of its list to the zone with each heartbeat and whenever the version changes. The
 * other proxies poll when they are notified of a newer version, and otherwise only occasionally. When heartbeats stop,
 * every proxy long-polls for itself.
 *
 * <p>Upper bounds on how long the list of a proxy is out of date, not counting the time that a poll takes:
 *
 * <ul>
 *   <li>while heartbeats arrive: the coalescing window;
 *   <li>after one lost heartbeat: one heartbeat interval more;
 *   <li>after the lease holder has failed: one and a half times the heartbeat timeout;
 *   <li>when the lease holder's long poll has silently failed, or heartbeats are delayed: the maximum poll interval.
 * </ul>
 */
public final class DelegatedWatch {
    /** Largest extension of the heartbeat timeout at a proxy, as a fraction of it. */
    private static final double TIMEOUT_JITTER = 0.5;
    /** Largest reduction of the interval between occasional polls, as a fraction of it. */
    private static final double POLL_INTERVAL_JITTER = 0.25;

    private final LeaseHandle lease;
    private final SplittableRandom random;
    private final DelegatedWatchActions actions;
    private final FencingTokenCheck fencingTokens = new FencingTokenCheck();
    private final double timeoutFactor;
    private DelegatedWatchTiming timing;
    private boolean longPolling = true;
    private long version;
    private double heartbeatValidUntilMs = Double.NEGATIVE_INFINITY;
    private long lastHeartbeatEpoch = -1;
    private long lastHeartbeatSequence = -1;
    private long heartbeatsSent;
    private double nextHeartbeatMs = Double.NEGATIVE_INFINITY;
    private double nextCorrectionMs = Double.NEGATIVE_INFINITY;
    private double nextPollMs = Double.POSITIVE_INFINITY;

    /** Creates a watch that long-polls until it receives the first heartbeat. */
    public DelegatedWatch(
            LeaseHandle lease, DelegatedWatchTiming timing, SplittableRandom random, DelegatedWatchActions actions) {
        this.lease = lease;
        this.timing = timing;
        this.random = random;
        this.actions = actions;
        timeoutFactor = 1 + TIMEOUT_JITTER * random.nextDouble();
    }

    /** Replaces the timing. */
    public void updateTiming(DelegatedWatchTiming newTiming) {
        timing = newTiming;
    }

    /** Returns whether this proxy should long-poll, because it holds the lease or because no heartbeat is valid. */
    public boolean shouldLongPoll(double nowMs) {
        return nowMs >= heartbeatValidUntilMs || holdsLease(nowMs);
    }

    /**
     * Records the version of this proxy's list; to be called after each response of discovery. The version is lower
     * than before when discovery has restarted its numbering.
     */
    public void listVersionChanged(double nowMs, long newVersion) {
        if (newVersion != version) {
            version = newVersion;
            if (holdsLease(nowMs)) {
                sendHeartbeat(nowMs);
            }
        }
    }

    /** Returns the version of this proxy's list; 0 before the first response. */
    public long version() {
        return version;
    }

    /** Handles a message from the proxy with peer ID {@code from}; messages about other leases are ignored. */
    public void received(double nowMs, long from, WatchVersionMessage message) {
        if (message.leaseId() != lease.id()) {
            return;
        }
        if (message.correction()) {
            correctionReceived(nowMs, message);
        } else {
            heartbeatReceived(nowMs, from, message);
        }
    }

    /** Polls once, because either this proxy's long poll has missed an update or the correction is wrong. */
    private void correctionReceived(double nowMs, WatchVersionMessage message) {
        if (message.version() > version && nowMs >= nextCorrectionMs && holdsLease(nowMs)) {
            nextCorrectionMs = nowMs + timing.heartbeatIntervalMs();
            actions.pollOnce();
        }
    }

    private void heartbeatReceived(double nowMs, long from, WatchVersionMessage message) {
        if (!fencingTokens.accepts(message.leaseId(), message.epoch()) || isRepeated(message)) {
            return;
        }
        lastHeartbeatEpoch = message.epoch();
        lastHeartbeatSequence = message.sequence();
        heartbeatValidUntilMs = nowMs + timing.heartbeatTimeoutMs() * timeoutFactor;
        if (message.version() > version) {
            nextPollMs = Math.min(nextPollMs, nowMs + random.nextDouble() * timing.coalescingWindowMs());
        } else if (message.version() < version && nowMs >= nextCorrectionMs) {
            nextCorrectionMs = nowMs + timing.heartbeatIntervalMs();
            actions.send(from, WatchVersionMessage.correction(message.leaseId(), version));
        }
        updatePollingMode(nowMs);
    }

    private boolean isRepeated(WatchVersionMessage message) {
        return message.epoch() == lastHeartbeatEpoch && message.sequence() <= lastHeartbeatSequence;
    }

    /**
     * Performs the actions that are due. Must also be called when the lease is gained or lost.
     *
     * @return the latest time of the next call, in milliseconds; infinite if nothing is scheduled
     */
    public double tick(double nowMs) {
        updatePollingMode(nowMs);
        if (nowMs >= nextHeartbeatMs && holdsLease(nowMs)) {
            sendHeartbeat(nowMs);
        }
        if (longPolling) {
            nextPollMs = Double.POSITIVE_INFINITY;
        } else if (nowMs >= nextPollMs) {
            nextPollMs = occasionalPollMs(nowMs);
            actions.pollOnce();
        }
        return Math.min(
                nextPollMs,
                Math.min(futureOrNever(heartbeatValidUntilMs, nowMs), futureOrNever(nextHeartbeatMs, nowMs)));
    }

    private static double futureOrNever(double atMs, double nowMs) {
        return atMs > nowMs ? atMs : Double.POSITIVE_INFINITY;
    }

    private boolean holdsLease(double nowMs) {
        return lease.permit(nowMs, 0) >= 0;
    }

    private void sendHeartbeat(double nowMs) {
        long epoch = lease.permit(nowMs, 0);
        if (epoch >= 0) {
            nextHeartbeatMs = nowMs + timing.heartbeatIntervalMs();
            actions.send(WatchVersionMessage.heartbeat(lease.id(), epoch, ++heartbeatsSent, version));
        }
    }

    private void updatePollingMode(double nowMs) {
        boolean enabled = shouldLongPoll(nowMs);
        if (enabled != longPolling) {
            longPolling = enabled;
            if (!enabled) {
                nextPollMs = Math.min(nextPollMs, occasionalPollMs(nowMs));
            }
            actions.setLongPolling(enabled);
        }
    }

    private double occasionalPollMs(double nowMs) {
        return nowMs + timing.maxPollIntervalMs() * (1 - POLL_INTERVAL_JITTER * random.nextDouble());
    }
}
