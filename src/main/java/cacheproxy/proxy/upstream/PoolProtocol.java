package cacheproxy.proxy.upstream;

import cacheproxy.policy.LoadReportSource;
import cacheproxy.proxy.request.MetaCodec;
import java.util.List;

/**
 * How the servers of a pool speak.
 *
 * @param stockServers whether the cache servers are stock ones, which give no receipts and no ids with a miss
 * @param loadReportSource where load figures come from
 * @param loadReportFields the names of the load figures, in the order of a report
 */
public record PoolProtocol(boolean stockServers, LoadReportSource loadReportSource, List<String> loadReportFields) {
    /** Whether a health probe asks for load figures. */
    public boolean probesLoad() {
        return loadReportSource == LoadReportSource.BY_PROBE;
    }

    /** The load figures in a response; null where responses bring none. */
    float[] loadReportIn(String text) {
        return loadReportSource == LoadReportSource.WITH_ANSWERS
                ? MetaCodec.parseLoadReport(text, loadReportFields)
                : null;
    }
}
