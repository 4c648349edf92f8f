package cacheproxy.policy;

import java.util.SplittableRandom;

/** Concludes requests: gives the final response and cancels attempts that are no longer needed. */
final class RequestConclusion {
    private static final double MIN_RETRY_AFTER_MS = 1;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private final LatencyEstimates latencies;
    private final PendingRequestTable requests;

    RequestConclusion(
            PolicySettings settings,
            SplittableRandom random,
            LatencyEstimates latencies,
            PendingRequestTable requests) {
        this.settings = settings;
        this.random = random;
        this.latencies = latencies;
        this.requests = requests;
    }

    /** Gives up a request that gets no further attempt, unless an attempt in flight can still produce its response. */
    void giveUp(PendingRequest pending, PolicyActions actions) {
        if (pending.inFlightAttempts() > 0 && pending.serviceClass().isIdempotent()) {
            return;
        }
        rejectOrFail(pending, actions);
        requests.finish(pending);
    }

    /**
     * Gives the final response: rejected if the client can safely retry, otherwise failed. Without a retry-after time,
     * rejected clients would retry at once and add to the overload. The time is random within the average latency, in
     * which capacity becomes free, so that clients do not return at the same moment.
     */
    void rejectOrFail(PendingRequest pending, PolicyActions actions) {
        if (pending.serviceClass().isIdempotent() || (!pending.mayHaveRun() && pending.inFlightAttempts() == 0)) {
            double retryAfterMs = Math.max(
                    MIN_RETRY_AFTER_MS,
                    Math.min(settings.maxRetryAfterMs(), latencies.serverMs() * random.nextDouble()));
            actions.reject(pending.id(), settings.retryAfterAllowed() ? retryAfterMs : 0);
        } else {
            actions.fail(pending.id());
        }
    }

    /** Cancels a request's attempts in flight, if cancellation is allowed. */
    void cancelInFlight(PendingRequest pending, PolicyActions actions) {
        if (!settings.cancellationAllowed()) {
            return;
        }
        for (int attempt = 0; attempt < pending.attempts(); attempt++) {
            if (!pending.hasEnded(attempt)) {
                actions.cancelAttempt(pending.id(), attempt);
            }
        }
    }
}
