package cacheproxy.policy;

/** The end of an attempt. {@code over}: the request has had its final answer; report: null if none. */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
public record AttemptResult(
        int request,
        int attempt,
        int server,
        AttemptOutcome outcome,
        double elapsedMs,
        boolean over,
        int note,
        float[] report) {}
