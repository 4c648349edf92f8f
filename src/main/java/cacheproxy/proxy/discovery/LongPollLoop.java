package cacheproxy.proxy.discovery;

import cacheproxy.discovery.DiscoveryPoll;
import cacheproxy.discovery.DiscoveryPollScheduler;
import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.proxy.net.TimerWheel.Timer;
import cacheproxy.proxy.upstream.EventLoopContext;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.function.Consumer;

/**
 * Sends the polls that a {@link DiscoveryPollScheduler} schedules, and reports their results to it. Discovery keeps a
 * client's watch only if each poll follows the last response within 200 ms; a client that stops polling never gets
 * another list, and keeps servers that have drained, departed, or lost their address to another server.
 */
final class LongPollLoop {
    private final EventLoopContext context;
    private final DiscoveryPollScheduler scheduler;
    private final ListVersion version;
    private final Consumer<JsonObject> onList;
    private final DiscoveryConnection connection;
    private InetSocketAddress address;
    /** Runs {@link #advance} when the next poll is due. */
    private Timer nextPoll;

    private boolean closed;

    /**
     * Creates a loop that polls nothing until {@link #setFollowing}.
     *
     * @param onList receives each list; a poll counts as failed if this throws an exception
     */
    LongPollLoop(
            EventLoopContext context,
            DiscoveryPollScheduler scheduler,
            InetSocketAddress address,
            ListVersion version,
            Consumer<JsonObject> onList) {
        this.context = context;
        this.scheduler = scheduler;
        this.address = address;
        this.version = version;
        this.onList = onList;
        connection = new DiscoveryConnection(context);
    }

    /** Starts or stops following the list, by long polls or only by immediate ones. */
    void setFollowing(boolean following, boolean longPolling) {
        scheduler.setLongPolling(context.nowMs(), longPolling);
        scheduler.setFollowing(context.nowMs(), following);
        advance();
    }

    /** Starts or stops long-polling; see {@link DiscoveryPollScheduler#setLongPolling}. */
    void setLongPolling(boolean enabled) {
        scheduler.setLongPolling(context.nowMs(), enabled);
        advance();
    }

    /** Polls immediately, in place of a long poll in flight. */
    void pollNow() {
        scheduler.pollNow(context.nowMs());
        advance();
    }

    /** Cancels the poll in flight and polls another address immediately. */
    void moveTo(InetSocketAddress newAddress) {
        address = newAddress;
        connection.close();
        scheduler.addressChanged(context.nowMs());
        advance();
    }

    /** Ends the loop permanently and cancels the poll in flight. */
    void close() {
        closed = true;
        if (nextPoll != null) {
            nextPoll.cancel();
        }
        connection.close();
    }

    /** Returns whether the loop has ended. */
    boolean isClosed() {
        return closed;
    }

    /** The address that is polled. */
    InetSocketAddress address() {
        return address;
    }

    /** Returns whether a poll is in flight whose result is still wanted. */
    boolean inFlight() {
        return scheduler.inFlight();
    }

    /**
     * The time until which the poll in flight should not be replaced; see
     * {@link DiscoveryPollScheduler#protectedUntilMs}.
     */
    double protectedUntilMs() {
        return scheduler.protectedUntilMs();
    }

    /** Cancels a poll that is no longer wanted, and sends the next poll or sets a timer for it. */
    private void advance() {
        if (closed) {
            return;
        }
        if (nextPoll != null) {
            nextPoll.cancel();
            nextPoll = null;
        }
        if (!scheduler.inFlight()) {
            connection.cancel();
        }
        double nowMs = context.nowMs();
        double dueAtMs = scheduler.nextPollAtMs();
        if (dueAtMs <= nowMs) {
            poll(scheduler.beginPoll(nowMs));
        } else if (dueAtMs < Double.POSITIVE_INFINITY) {
            nextPoll = context.after(dueAtMs - nowMs, this::advance);
        }
    }

    private void poll(DiscoveryPoll poll) {
        if (context.events().isEnabled()) {
            context.events()
                    .line(ProxyEvent.DISCOVERY_CALLED)
                    .with("at", address)
                    .with("since", version.since())
                    .with("wait_ms", poll.waitMs())
                    .withMs("limit_ms", poll.timeoutMs())
                    .write();
        }
        connection.get(
                address,
                "/discovery/hosts?since=" + version.since() + "&timeout_ms=" + poll.waitMs(),
                poll.timeoutMs(),
                this::pollEnded);
    }

    private void pollEnded(DiscoveryResponse response) {
        try {
            onList.accept(response.body());
            scheduler.succeeded(context.nowMs());
            logSuccess();
        } catch (RuntimeException e) {
            scheduler.failed(context.nowMs(), response.timedOut());
            logFailure(e);
        }
        advance();
    }

    private void logSuccess() {
        if (context.events().isEnabled()) {
            context.events()
                    .line(ProxyEvent.DISCOVERY_ANSWERED)
                    .with("version", version.held())
                    .write();
        }
    }

    private void logFailure(RuntimeException cause) {
        int failures = scheduler.consecutiveFailures();
        if (context.events().isEnabled()) {
            context.events()
                    .line(ProxyEvent.DISCOVERY_FAILED)
                    .with("cause", cause.getMessage())
                    .with("failures", failures)
                    .withMs("age_ms", scheduler.stalenessMs(context.nowMs()))
                    .withMs("next_ms", scheduler.nextPollAtMs() - context.nowMs())
                    .write();
        }
        if (Integer.bitCount(failures) == 1) { // 1, 2, 4...: the number of log lines is bounded
            context.log(
                    "discovery: " + cause.getMessage() + (failures > 1 ? ", " + failures + " failures in a row" : ""));
        }
    }
}
