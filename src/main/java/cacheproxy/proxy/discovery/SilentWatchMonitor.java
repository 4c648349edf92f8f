package cacheproxy.proxy.discovery;

import cacheproxy.discovery.SilentWatchDetector;
import cacheproxy.policy.Endpoint;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.List;

/**
 * Feeds a {@link SilentWatchDetector} and carries out the extra polls that it wants. Where the proxy long-polls, an
 * extra poll replaces a long poll that has probably failed silently; else it is an additional one.
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

    /** Discovery has responded with a list of this version, or its changes. */
    void listReceived(long version, boolean complete, List<Endpoint> endpoints) {
        detector.listReceived(version, complete, endpoints);
    }

    /** A server has refused a connection. */
    void connectionRefused(int server) {
        detector.connectionRefused(context.nowMs(), server);
        scheduleCheck();
    }

    /** A server has accepted a connection. */
    void connected(int server) {
        detector.connected(server);
    }

    /** Another proxy claims to have a version newer than the one held here. */
    void versionClaimed(long version) {
        detector.versionClaimed(context.nowMs(), version);
        scheduleCheck();
    }

    /** Forgets the versions that other proxies claim to have. */
    void resetClaims() {
        detector.resetClaims();
    }

    /** Moves the check only to an earlier time. If the poll is due later by then, the check schedules itself again. */
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
