package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedServer;

/**
 * A listed server and its health as this policy has observed it. {@link EndpointList} owns the listing,
 * {@link OutlierEjection} the health.
 */
final class ServerState {
    private final int id;
    private Endpoint endpoint;
    private double weightFraction;

    /** When a start later than that of an earlier list was seen; negative infinity: the first list had it. */
    private double restartSeenMs = Double.NEGATIVE_INFINITY;

    private int failures;
    private int overdueAttempts;
    private double ejectedUntilMs;
    private boolean probing;
    private boolean probeSucceeded;
    private boolean failuresRestored;

    ServerState(int id) {
        this.id = id;
    }

    /** Returns the endpoint's id. */
    int id() {
        return id;
    }

    /** Returns the newest listing. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** Whether the server is listed as ready. */
    boolean isReady() {
        return endpoint.state() == EndpointState.READY;
    }

    /** Takes over a listing; nothing that a server did before a restart counts after it. */
    void update(double nowMs, Endpoint listed, boolean firstList) {
        boolean isNew = endpoint == null;
        boolean restarted = !isNew && endpoint.startedMs() != listed.startedMs();
        if (restarted) {
            clearFailures();
            ejectedUntilMs = 0;
            probing = false;
            probeSucceeded = false;
            failuresRestored = false;
        }
        if (!firstList && (isNew || restarted)) {
            restartSeenMs = nowMs;
        }
        endpoint = listed;
    }

    /** Returns when a start later than that of an earlier list was seen; negative infinity: never. */
    double restartSeenMs() {
        return restartSeenMs;
    }

    /** Returns the server's part of the weights of all cache servers that are ready, 0 to 1. */
    double weightFraction() {
        return weightFraction;
    }

    void setWeightFraction(double fraction) {
        weightFraction = fraction;
    }

    /** Returns the consecutive failures; 0: the server is healthy. */
    int failures() {
        return failures;
    }

    /** Returns the consecutive attempts that exceeded their hedging delay or were reset. */
    int overdueAttempts() {
        return overdueAttempts;
    }

    /** Counts an attempt that exceeded its hedging delay or was reset; returns the new count. */
    int countOverdueAttempt() {
        return ++overdueAttempts;
    }

    /** Returns until when the server is ejected. */
    double ejectedUntilMs() {
        return ejectedUntilMs;
    }

    /** Whether requests may be sent as to a healthy server: it has no failures, or has passed a probe since. */
    boolean isTrusted() {
        return failures == 0 || (probeSucceeded && !probing);
    }

    /** Whether a half-open probe is in flight. */
    boolean isProbing() {
        return probing;
    }

    /** A half-open probe is sent. */
    void startProbe() {
        probing = true;
    }

    /** The half-open probe, if there is one, has ended or was not sent. */
    void endProbe() {
        probing = false;
    }

    /** The half-open probe has succeeded. */
    void passProbe() {
        probing = false;
        probeSucceeded = true;
    }

    /** Counts a failure and ejects the server. */
    void eject(double untilMs) {
        probing = false;
        probeSucceeded = false;
        ejectedUntilMs = untilMs;
        failures++;
    }

    /** Forgets failures and overdue attempts. */
    void clearFailures() {
        failures = 0;
        overdueAttempts = 0;
    }

    /** Whether the failures are an earlier process's: this one has had no result of the server yet. */
    boolean hasRestoredFailures() {
        return failuresRestored;
    }

    /** Notes that this process has had a result of the server. */
    void markObserved() {
        failuresRestored = false;
    }

    /** Takes over what an earlier process has learned of the server. */
    void restore(LearnedServer learned, double untilMs) {
        failures = learned.failures();
        overdueAttempts = learned.overdueAttempts();
        ejectedUntilMs = untilMs;
        failuresRestored = learned.failures() > 0;
    }
}
