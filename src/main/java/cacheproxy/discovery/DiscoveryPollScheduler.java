package cacheproxy.discovery;

import java.util.SplittableRandom;

/**
 * Schedules the polls of discovery so that the endpoint list is never staler than {@link #MAX_STALENESS_MS} while
 * discovery is reachable. A long poll that has silently failed looks like one without changes; only a response shows
 * that discovery is alive. So the staleness is the time since the last successful response, and its bound has to allow
 * for one long poll that fails silently and for the immediate poll that replaces it: {@link #LONG_POLL_WAIT_MS} plus
 * two response timeouts.
 *
 * <p>Response timeouts grow with the response times observed, because abandoning polls that are queued at a slow
 * discovery would only lengthen its queue. Rejected polls are retried with capped exponential backoff and full jitter;
 * the cap grows with the number of clients, which spreads the retries of clients that were rejected together.
 */
public final class DiscoveryPollScheduler {
    /** The staleness bound: a change of discovery's list is delivered within this time, in milliseconds. */
    public static final double MAX_STALENESS_MS = 6000;
    /** How long discovery holds a long poll when nothing changes. */
    static final int LONG_POLL_WAIT_MS = 2800;
    /** How long discovery holds an immediate poll: practically not at all. */
    static final int IMMEDIATE_POLL_WAIT_MS = 1;
    /** Lower bound of the response timeout, which counts from the end of the wait. */
    static final double MIN_RESPONSE_TIMEOUT_MS = 1400;
    /** Upper bound of the response timeout; longer than discovery holds the polls that it rejects. */
    static final double MAX_RESPONSE_TIMEOUT_MS = 4000;
    /** Lower bound of the cap of retry delays. */
    static final double MIN_RETRY_CAP_MS = 500;
    /** Upper bound of the cap of retry delays. */
    static final double MAX_RETRY_CAP_MS = 2500;

    /** Response timeout as a multiple of the recent response time. */
    private static final double RESPONSE_TIME_FACTOR = 2;
    /** Minimum time after the end of its wait for which a poll is protected, see {@link #protectedUntilMs}. */
    private static final double MIN_PROTECTION_MS = 300;
    /** Factor by which the recent response time decays with each faster response. */
    private static final double RESPONSE_TIME_DECAY = 0.75;
    /** Upper bound of the first retry delay. */
    private static final double INITIAL_RETRY_MS = 250;
    /** Amount that each client adds to the cap of retry delays. */
    private static final double RETRY_CAP_PER_CLIENT_MS = 25;

    private static final int MAX_DOUBLINGS = 10;
    private static final double NEVER = Double.POSITIVE_INFINITY;

    private final double maxRetryMs;
    private final SplittableRandom random;
    private boolean following;
    private boolean longPolling = true;
    private boolean inFlight;
    private boolean immediatePollWanted;
    private boolean hasSucceeded;
    private int consecutiveFailures;
    private double nextPollAtMs = NEVER;
    private double sentAtMs;
    private int waitMs;
    /** Decaying maximum of the recent response times, without their waits. */
    private double responseTimeMs;

    private double lastSuccessAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates a scheduler that schedules no polls until {@link #setFollowing} is called.
     *
     * @param sharedService whether discovery is one service for all clients; otherwise it is an agent on this machine,
     *     to which polls cost nothing
     * @param clientCount how many proxies poll discovery, this one included
     */
    public DiscoveryPollScheduler(boolean sharedService, int clientCount, SplittableRandom random) {
        maxRetryMs = sharedService
                ? Math.max(MIN_RETRY_CAP_MS, Math.min(MAX_RETRY_CAP_MS, RETRY_CAP_PER_CLIENT_MS * clientCount))
                : MIN_RETRY_CAP_MS;
        this.random = random;
    }

    /** Starts or stops following the list; no effect if it is already in the requested state. */
    public void setFollowing(double nowMs, boolean enabled) {
        if (!enabled) {
            following = false;
            inFlight = false;
            nextPollAtMs = NEVER;
        } else if (!following) {
            following = true;
            scheduleNext(nowMs);
        }
    }

    /**
     * Switches long-polling on or off. While it is off, polls are sent only on {@link #pollNow} and until the first
     * success.
     */
    public void setLongPolling(double nowMs, boolean enabled) {
        boolean idle = !inFlight && nextPollAtMs == NEVER;
        longPolling = enabled;
        if (following && enabled && idle) {
            nextPollAtMs = nowMs;
        } else if (!enabled && hasSucceeded && consecutiveFailures == 0 && !immediatePollWanted) {
            inFlight = false; // discovery no longer needs to hold the long poll
            nextPollAtMs = NEVER;
        }
    }

    /**
     * Schedules an immediate poll, because the list is known to have changed or the long poll is not trusted. It
     * replaces a long poll in flight. An immediate poll in flight is allowed to finish and is followed by another one,
     * so that frequent calls do not prevent every poll from completing.
     */
    public void pollNow(double nowMs) {
        if (following) {
            immediatePollWanted = true;
            if (!inFlight || waitMs != IMMEDIATE_POLL_WAIT_MS) {
                inFlight = false;
                nextPollAtMs = nowMs;
            }
        }
    }

    /** Handles a change of discovery's address: discards the poll in flight and the failures at the old address. */
    public void addressChanged(double nowMs) {
        consecutiveFailures = 0;
        responseTimeMs = 0;
        hasSucceeded = false;
        following = true;
        inFlight = false;
        pollNow(nowMs);
    }

    /** Returns when the next poll is due; infinite if none is due, or while one is in flight. */
    public double nextPollAtMs() {
        return nextPollAtMs;
    }

    /**
     * Returns until when the poll in flight should not be replaced because of hints that the list is stale; negative
     * infinity if none is in flight. Discovery serves its clients in order, so a client that abandons a queued poll
     * goes to the end of the queue or is rejected.
     */
    public double protectedUntilMs() {
        return inFlight
                ? sentAtMs + waitMs + Math.max(MIN_PROTECTION_MS, RESPONSE_TIME_FACTOR * responseTimeMs)
                : Double.NEGATIVE_INFINITY;
    }

    /** Returns whether a poll is in flight whose result is still needed. */
    public boolean inFlight() {
        return inFlight;
    }

    /** Starts the poll that is due. */
    public DiscoveryPoll beginPoll(double nowMs) {
        inFlight = true;
        nextPollAtMs = NEVER;
        sentAtMs = nowMs;
        waitMs = immediatePollWanted ? IMMEDIATE_POLL_WAIT_MS : LONG_POLL_WAIT_MS;
        immediatePollWanted = false;
        int doublings = Math.max(0, Math.min(consecutiveFailures - 1, MAX_DOUBLINGS));
        double responseTimeoutMs =
                Math.max(MIN_RESPONSE_TIMEOUT_MS, RESPONSE_TIME_FACTOR * responseTimeMs) * (1 << doublings);
        return new DiscoveryPoll(waitMs, waitMs + Math.min(MAX_RESPONSE_TIMEOUT_MS, responseTimeoutMs));
    }

    /** Records that the poll in flight has received a valid response. */
    public void succeeded(double nowMs) {
        double elapsedMs = nowMs - sentAtMs - waitMs;
        if (elapsedMs >= 0) { // otherwise a change ended the wait early, and the response time is unknown
            responseTimeMs = Math.max(elapsedMs, responseTimeMs * RESPONSE_TIME_DECAY);
        }
        lastSuccessAtMs = nowMs;
        hasSucceeded = true;
        consecutiveFailures = 0;
        inFlight = false;
        scheduleNext(nowMs);
    }

    /**
     * Records that the poll in flight has failed: connection failure, rejection, timeout or an invalid response.
     *
     * @param silent whether nothing was received until the timeout
     */
    public void failed(double nowMs, boolean silent) {
        inFlight = false;
        consecutiveFailures++;
        immediatePollWanted = true; // a long poll that fails silently again would look like one without changes
        nextPollAtMs = following ? nowMs + maxRetryDelayMs(nowMs, silent) * random.nextDouble() : NEVER;
    }

    /**
     * Returns the upper bound of the next retry delay. The first silent failure is retried at once, because the polls
     * of different clients began at different times. Clients may all have been rejected together, so their retries are
     * spread; the duration of the failed poll counts towards the delay.
     */
    private double maxRetryDelayMs(double nowMs, boolean silent) {
        double capMs =
                silent && consecutiveFailures == 1 ? 0 : Math.max(MIN_RETRY_CAP_MS, maxRetryMs - (nowMs - sentAtMs));
        return Math.min(capMs, INITIAL_RETRY_MS * (1 << Math.min(consecutiveFailures - 1, MAX_DOUBLINGS)));
    }

    private void scheduleNext(double nowMs) {
        nextPollAtMs = following && (longPolling || !hasSucceeded || immediatePollWanted) ? nowMs : NEVER;
    }

    /** Returns the number of failures since the last success. */
    public int consecutiveFailures() {
        return consecutiveFailures;
    }

    /** Returns the time since the last success in milliseconds; infinite if there has been none. */
    public double stalenessMs(double nowMs) {
        return nowMs - lastSuccessAtMs;
    }
}
