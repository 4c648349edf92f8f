package cacheproxy.policy;

/**
 * The result of an attempt.
 *
 * @param requestId the request's id
 * @param attempt the attempt's number, from 0 in the order of sending
 * @param serverId the server that it was sent to
 * @param outcome how it ended
 * @param elapsedMs milliseconds since it was sent
 * @param answered whether the request has its final response, from this attempt or an earlier one; otherwise the policy
 *     must still produce one
 * @param cacheStatus the lookup result that a cache server reported: 1 hit, 2 miss,
 *     {@link PolicyApi#CACHE_STATUS_FETCH_PENDING} miss while another fetch of the key is pending; 0 none
 * @param loadReport the server's load report, in the order of {@link PolicySettings#loadReportFields}; null if there is
 *     none
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
