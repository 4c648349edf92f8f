package cacheproxy.proxy.discovery;

import cacheproxy.discovery.SilentWatchDetector;
import cacheproxy.policy.Endpoint;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.List;

/**
 * Reports events to a {@link SilentWatchDetector} and sends the extra polls that it requests. If the proxy long-polls,
 * an extra poll replaces a long poll that has probably failed silently; otherwise it is an additional one.
 */
final class SilentWatchMonitor {
    private final EventLoopContext context;
    private final SilentWatchDetector detector;
    private final LongPollLoop polls;
    private Timer check;
    /** When {@link #check} runs; infinite if it is not set. */
    private double checkAtMs = Double.POSITIVE_INFINITY;

    SilentWatchMonitor(EventLoopContext context, SilentWatchDetector detector, LongPollLoop polls) {
        this.context = context;
        this.detector = detector;
        this.polls = polls;
    }

    /** Reports that discovery has responded with a list of this version, or its changes. */
    void listReceived(long version, boolean complete, List<Endpoint> endpoints) {
        detector.listReceived(version, complete, endpoints);
    }

    /** Reports that a server has refused a connection. */
    void connectionRefused(int server) {
        detector.connectionRefused(context.nowMs(), server);
        scheduleCheck();
    }

    /** Reports that a server has accepted a connection. */
    void connected(int server) {
        detector.connected(server);
    }

    /** Reports that another proxy claims to have a newer version than the one held here. */
    void versionClaimed(long version) {
        detector.versionClaimed(context.nowMs(), version);
        scheduleCheck();
    }

    /** Discards the versions that other proxies claim to have. */
    void resetClaims() {
        detector.resetClaims();
    }

    /**
     * Schedules the check if it is not scheduled for an earlier time. If the poll is due later by then, the check
     * reschedules itself.
     */
    private void scheduleCheck() {
        double dueAtMs = Math.max(detector.nextPollAtMs(), polls.protectedUntilMs());
        if (dueAtMs < checkAtMs && !polls.isClosed()) {
            if (check != null) {
                check.cancel();
            }
            checkAtMs = dueAtMs;
            check = context.after(checkAtMs - context.nowMs(), this::check);
        }
    }

    private void check() {
        checkAtMs = Double.POSITIVE_INFINITY;
        if (!polls.isClosed() && context.nowMs() >= polls.protectedUntilMs() && detector.takeDuePoll(context.nowMs())) {
            if (polls.inFlight()) {
                context.log("discovery: the watch seems to have fallen silent, asking anew");
            }
            polls.pollNow();
        }
        scheduleCheck();
    }
}
