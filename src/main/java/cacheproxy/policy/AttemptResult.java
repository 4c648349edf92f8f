package cacheproxy.policy;

/** The end of an attempt. {@code over}: the request has had its final answer; report: null if none. */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
public record AttemptResult(
        int requestId,
        int attempt,
        int serverId,
        AttemptOutcome outcome,
        double elapsedMs,
        boolean answered,
        int cacheStatus,
        float[] loadReport) {}
