package cacheproxy.policy;

/**
 * Decides whether a request may be sent again without the risk of taking effect twice. An idempotent request always
 * may. Other requests may not while an attempt is in flight, and after an attempt that may have run they may only if
 * the servers deduplicate by the request's idempotency key: within the deduplication window, and at a server that knows
 * the key. The static methods apply to attempts that had no effect.
 */
final class RetryRules {
    private final PolicySettings settings;

    RetryRules(PolicySettings settings) {
        this.settings = settings;
    }

    /** Whether a request's next attempt, which may be its first, may be sent to a server. */
    boolean maySend(double nowMs, PendingRequest pending, ServerState server) {
        if (pending.inFlightAttempts() > 0
                && !(settings.hedgingAllowed() && pending.serviceClass().isIdempotent())) {
            return false;
        }
        if (!pending.mayHaveRun() || pending.serviceClass().isIdempotent()) {
            return true;
        }
        ServiceClass serviceClass = pending.serviceClass();
        return serviceClass.idempotency() == Idempotency.DEDUPLICATED
                && nowMs < pending.mayHaveRunSinceMs() + serviceClass.deduplicationWindowMs()
                && inSameScope(
                        serviceClass.deduplicationScope(),
                        pending.mayHaveRunServer().endpoint(),
                        server.endpoint());
    }

    /** Whether another proxy's fetch will bring the missed object to the server, so that it can be read there. */
    static boolean mayReadAfterPendingFetch(PendingRequest pending, AttemptResult result) {
        return result.cacheStatus() == PolicyApi.CACHE_STATUS_FETCH_PENDING && pending.leavesAttemptForOrigin();
    }

    /** Whether a write that the origin has rejected for overload may be sent again. */
    static boolean mayRepeatRejectedWrite(PendingRequest pending, AttemptResult result) {
        return result.outcome() == AttemptOutcome.FULL && pending.request().write() && pending.attemptsLeft() > 0;
    }

    private static boolean inSameScope(DeduplicationScope scope, Endpoint first, Endpoint second) {
        return switch (scope) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }
}
