package cacheproxy.proxy.upstream;

import cacheproxy.policy.LoadReportSource;
import cacheproxy.proxy.request.MetaCodec;
import java.util.List;

/**
 * The protocol of the servers of a pool.
 *
 * @param stockServers whether the cache servers are stock servers, which send no receipts, and no ids with a miss
 * @param loadReportSource where load reports come from
 * @param loadReportFields the names of a load report's fields, in order
 */
public record PoolProtocol(boolean stockServers, LoadReportSource loadReportSource, List<String> loadReportFields) {
    /** Whether a health probe requests a load report. */
    public boolean probesLoad() {
        return loadReportSource == LoadReportSource.BY_PROBE;
    }

    /** Returns the load report in a response; null if responses carry none. */
    float[] loadReportIn(String text) {
        return loadReportSource == LoadReportSource.WITH_ANSWERS
                ? MetaCodec.parseLoadReport(text, loadReportFields)
                : null;
    }
}
