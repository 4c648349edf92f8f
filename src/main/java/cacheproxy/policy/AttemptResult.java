package cacheproxy.policy;

/**
 * The end of an attempt.
 *
 * @param requestId the request's id
 * @param attempt the attempt's number, from 0 in the order of sending
 * @param serverId the server that it was sent to
 * @param outcome how it ended
 * @param elapsedMs milliseconds since it was sent
 * @param answered whether the request has its final response, by this attempt or earlier; else the policy still owes
 *     one
 * @param cacheStatus what a cache server reported of its lookup: 1 hit, 2 miss,
 *     {@link PolicyApi#CACHE_STATUS_FETCH_PENDING} miss while another fetch of the key is pending; 0 nothing
 * @param loadReport the server's load report, in the order of {@link PolicySettings#loadReportFields}; null: none
 */
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
