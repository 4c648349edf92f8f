package cacheproxy.policy;

import cacheproxy.snapshot.state.LearnedServer;

/**
 * A listed server and its health as this policy has observed it. {@link EndpointList} updates its entry in the list,
 * {@link OutlierEjection} its health.
 */
final class ServerState {
    private final int id;
    private Endpoint endpoint;
    private double weightFraction;

    /** When the server's present start was first listed; negative infinity if the first list already had it. */
    private double restartSeenMs = Double.NEGATIVE_INFINITY;

    private int failures;
    private int overdueAttempts;
    private double ejectedUntilMs;
    private boolean probing;
    private boolean probeSucceeded;
    private boolean failuresRestored;
    private final AnswerRate answerRate = new AnswerRate();

    /** What counts against the server's slow-start budget since its present start; null if nothing has. */
    private SlowStartWindow slowStartWindow;

    ServerState(int id) {
        this.id = id;
    }

    /** Returns the endpoint's id. */
    int id() {
        return id;
    }

    /** Returns the server's entry in the latest list that contained it. */
    Endpoint endpoint() {
        return endpoint;
    }

    /** Whether the server is listed as ready. */
    boolean isReady() {
        return endpoint.state() == EndpointState.READY;
    }

    /**
     * Stores the server's entry in a new list. A restart resets its health, as nothing before a restart counts after
     * it.
     */
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
        if (isNew || restarted) {
            answerRate.reset(nowMs);
            slowStartWindow = null;
        }
        if (!firstList && (isNew || restarted)) {
            restartSeenMs = nowMs;
        }
        endpoint = listed;
    }

    /** Returns when the server's present start was first listed; negative infinity if the first list already had it. */
    double restartSeenMs() {
        return restartSeenMs;
    }

    /** Returns the rate at which the server answers since its present start. */
    AnswerRate answerRate() {
        return answerRate;
    }

    /** Returns what counts against the server's slow-start budget since its present start; null if nothing has. */
    SlowStartWindow slowStartWindow() {
        return slowStartWindow;
    }

    void setSlowStartWindow(SlowStartWindow window) {
        slowStartWindow = window;
    }

    /** Returns the server's fraction of the total weight of all ready cache servers, 0 to 1. */
    double weightFraction() {
        return weightFraction;
    }

    void setWeightFraction(double fraction) {
        weightFraction = fraction;
    }

    /** Returns the number of consecutive failures; 0 if the server is healthy. */
    int failures() {
        return failures;
    }

    /** Returns the number of consecutive attempts that exceeded their hedging delay or were reset. */
    int overdueAttempts() {
        return overdueAttempts;
    }

    /** Counts an attempt that exceeded its hedging delay or was reset; returns the new count. */
    int countOverdueAttempt() {
        return ++overdueAttempts;
    }

    /** Returns the time until which the server is ejected. */
    double ejectedUntilMs() {
        return ejectedUntilMs;
    }

    /**
     * Returns whether the server receives requests like a healthy one: it has no failures, or has passed a probe since.
     */
    boolean isTrusted() {
        return failures == 0 || (probeSucceeded && !probing);
    }

    /** Whether a half-open probe is in flight. */
    boolean isProbing() {
        return probing;
    }

    /** Records that a half-open probe is sent. */
    void startProbe() {
        probing = true;
    }

    /** Records that the half-open probe, if there is one, has ended or was not sent. */
    void endProbe() {
        probing = false;
    }

    /** Records that the half-open probe has succeeded. */
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

    /** Resets the counts of failures and overdue attempts. */
    void clearFailures() {
        failures = 0;
        overdueAttempts = 0;
    }

    /**
     * Returns whether the failures were restored from an earlier process and this one has had no result from the server
     * yet.
     */
    boolean hasRestoredFailures() {
        return failuresRestored;
    }

    /** Records that this process has had a result from the server. */
    void markObserved() {
        failuresRestored = false;
    }

    /** Restores what an earlier process has learned about the server. */
    void restore(LearnedServer learned, double untilMs) {
        failures = learned.failures();
        overdueAttempts = learned.overdueAttempts();
        ejectedUntilMs = untilMs;
        failuresRestored = learned.failures() > 0;
    }
}
