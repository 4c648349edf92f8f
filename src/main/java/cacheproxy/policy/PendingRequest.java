package cacheproxy.policy;

import java.util.ArrayDeque;

/**
 * A request that has no final response yet, or whose attempts have not all ended. The object records what has happened
 * to the request; decisions are made elsewhere.
 *
 * <p>Attempts are numbered from 0 in the order of sending. Times are milliseconds on the policy's clock.
 */
final class PendingRequest {
    private final RoutingRequest request;
    private final ServiceClass serviceClass;
    private final double arrivedMs;
    private final int keyHash;
    private final int number;
    private final SentAttempt[] sentAttempts;
    private int attempts;
    private int inFlightAttempts;
    private int hotKeySpread = 1;
    private int recentKeyRequests = 1;
    private boolean concluded;
    private boolean streaming;
    private boolean originOnly;
    private boolean waiting;
    private boolean hedged;
    private boolean siblingsQueried;
    private boolean fetching;
    private double hedgeAtMs;
    private ServerState missedServer;
    private double mayHaveRunSinceMs = Double.NaN;
    private ServerState mayHaveRunServer;
    private ArrayDeque<PendingRequest> waiters;

    /** The next attempt's part of its server's slow-start budget; null if it has none. */
    private SlowStartReservation reservation;

    /**
     * Creates a request without attempts.
     *
     * @param number identifies the request in its timers
     */
    PendingRequest(double nowMs, RoutingRequest request, ServiceClass serviceClass, int number, int maxAttempts) {
        this.request = request;
        this.serviceClass = serviceClass;
        this.number = number;
        arrivedMs = nowMs;
        keyHash = CarpHash.keyHash(placementKey());
        sentAttempts = new SentAttempt[maxAttempts];
    }

    /** Returns the request as the client has sent it. */
    RoutingRequest request() {
        return request;
    }

    /** Returns the request's id. */
    int id() {
        return request.id();
    }

    /** Returns the number that identifies the request in its timers. */
    int number() {
        return number;
    }

    /** Returns the request's class. */
    ServiceClass serviceClass() {
        return serviceClass;
    }

    /** Returns the time at which the latency objective of the request's service class ends. */
    double objectiveAtMs() {
        return arrivedMs + serviceClass.latencyObjectiveMs();
    }

    /** Returns the key that servers are ranked for: the request's own, or its id if it has none. */
    long placementKey() {
        return request.key() != 0 ? request.key() : Integer.toUnsignedLong(request.id());
    }

    /** Returns {@link CarpHash#keyHash} of {@link #placementKey}. */
    int keyHash() {
        return keyHash;
    }

    /** Sets the popularity of the request's key: its recent requests and how many servers it is spread over. */
    void setKeyPopularity(int recentRequests, int spread) {
        recentKeyRequests = recentRequests;
        hotKeySpread = spread;
    }

    /** Returns the recent requests for the key, at least 1. */
    int recentKeyRequests() {
        return recentKeyRequests;
    }

    /** Returns how many servers the key is spread over, at least 1. */
    int hotKeySpread() {
        return hotKeySpread;
    }

    /** Records an attempt that is sent; returns its number. */
    int startAttempt(double nowMs, ServerState server) {
        int attempt = attempts++;
        sentAttempts[attempt] = new SentAttempt(nowMs, server, takeReservation());
        inFlightAttempts++;
        return attempt;
    }

    /** Records the end of an attempt. */
    void endAttempt(int attempt) {
        sentAttempts[attempt].end();
        inFlightAttempts--;
    }

    /** Records that an attempt may have taken effect; only the first such attempt is kept. */
    void markMayHaveRun(int attempt) {
        if (Double.isNaN(mayHaveRunSinceMs)) {
            mayHaveRunSinceMs = sentAttempts[attempt].sentAtMs();
            mayHaveRunServer = sentAttempts[attempt].server();
        }
    }

    /** Whether an attempt that has ended may have taken effect. */
    boolean mayHaveRun() {
        return !Double.isNaN(mayHaveRunSinceMs);
    }

    /** Returns when the first attempt that may have taken effect was sent; NaN if there is none. */
    double mayHaveRunSinceMs() {
        return mayHaveRunSinceMs;
    }

    /** Returns the server of the first attempt that may have taken effect; null if there is none. */
    ServerState mayHaveRunServer() {
        return mayHaveRunServer;
    }

    /** Returns how many attempts were sent. */
    int attempts() {
        return attempts;
    }

    /** Returns how many attempts may still be sent. */
    int attemptsLeft() {
        return sentAttempts.length - attempts;
    }

    /** Returns whether the request may have another attempt and, after that, one at the origin. */
    boolean leavesAttemptForOrigin() {
        return attemptsLeft() >= 2;
    }

    /** Returns how many attempts have not ended. */
    int inFlightAttempts() {
        return inFlightAttempts;
    }

    /** Returns the server that an attempt was sent to. */
    ServerState server(int attempt) {
        return sentAttempts[attempt].server();
    }

    /** Returns an attempt that was sent. */
    SentAttempt sentAttempt(int attempt) {
        return sentAttempts[attempt];
    }

    /** Whether an attempt has ended. */
    boolean hasEnded(int attempt) {
        return sentAttempts[attempt].hasEnded();
    }

    /** Keeps a part of a server's slow-start budget for the next attempt. */
    void setReservation(SlowStartReservation reserved) {
        reservation = reserved;
    }

    /** Returns the part of a server's slow-start budget that is kept for the next attempt, and keeps none. */
    SlowStartReservation takeReservation() {
        SlowStartReservation taken = reservation;
        reservation = null;
        return taken;
    }

    /** Whether an attempt was sent to a server. */
    boolean wasSentTo(ServerState server) {
        for (int attempt = 0; attempt < attempts; attempt++) {
            if (sentAttempts[attempt].server() == server) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether the final response was given or the client has disconnected. */
    boolean isConcluded() {
        return concluded;
    }

    /** Records that the final response was given or the client has disconnected. */
    void markConcluded() {
        concluded = true;
    }

    /** Returns whether an attempt's response is being streamed to the client. */
    boolean isStreaming() {
        return streaming;
    }

    /** Records that an attempt's response has begun to reach the client. */
    void markStreaming() {
        streaming = true;
    }

    /** Whether only the origin can serve the request. */
    boolean isOriginOnly() {
        return originOnly;
    }

    /** Sets whether only the origin can serve the request. */
    void setOriginOnly(boolean only) {
        originOnly = only;
    }

    /** Whether the request waits for a timer, for siblings or for another request's fetch. */
    boolean isWaiting() {
        return waiting;
    }

    /** Sets whether the request waits. */
    void setWaiting(boolean waits) {
        waiting = waits;
    }

    /** Returns whether an attempt has exceeded its hedging delay and was therefore hedged or cancelled. */
    boolean isHedged() {
        return hedged;
    }

    /** Records that an attempt has exceeded its hedging delay and the request is hedged. */
    void markHedged() {
        hedged = true;
    }

    /** Returns the time at which the latest attempt exceeds its hedging delay. */
    double hedgeAtMs() {
        return hedgeAtMs;
    }

    /** Sets the time at which the latest attempt exceeds its hedging delay. */
    void setHedgeAtMs(double atMs) {
        hedgeAtMs = atMs;
    }

    /** Returns the server that has answered with a miss; null if none has. */
    ServerState missedServer() {
        return missedServer;
    }

    /** Records a server's miss, after which the request goes to the origin. */
    void recordMiss(ServerState server) {
        missedServer = server;
        originOnly = true;
    }

    /** Whether siblings were queried for the request. */
    boolean isSiblingsQueried() {
        return siblingsQueried;
    }

    /** Records that siblings are queried, which happens at most once. */
    void markSiblingsQueried() {
        siblingsQueried = true;
    }

    /** Returns whether the request has started to fetch its object from the origin. */
    boolean isFetching() {
        return fetching;
    }

    /** Records that the request starts to fetch its object from the origin. */
    void markFetching() {
        fetching = true;
    }

    /** Returns whether the request is the leader for its key, so that other requests can wait for it. */
    boolean isLeading() {
        return waiters != null;
    }

    /** Returns whether other requests wait for this one. */
    boolean hasWaiters() {
        return waiters != null && !waiters.isEmpty();
    }

    /** Makes the request the leader for its key. */
    void startLeading() {
        waiters = new ArrayDeque<>();
    }

    /** Adds a request that waits for this one's fetch. */
    void addWaiter(PendingRequest waiter) {
        waiters.add(waiter);
    }

    /** Ends the request's role as the leader; returns the requests that waited for it, in order of arrival. */
    ArrayDeque<PendingRequest> stopLeading() {
        ArrayDeque<PendingRequest> released = waiters;
        waiters = null;
        return released;
    }
}
