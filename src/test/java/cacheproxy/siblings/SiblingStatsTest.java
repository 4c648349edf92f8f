package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** When a sibling that does not reply, or reports false hits, may be queried. */
class SiblingStatsTest {
    @Test
    void probesSilentOrInaccurateSiblingsUntilTheyRecover() {
        for (boolean reportsFalseHits : new boolean[] {true, false}) {
            SiblingStats stats = new SiblingStats();
            double nowMs = 0;
            for (int i = 0; i < 300; i++) {
                nowMs += 1;
                stats.recordQuery(nowMs);
                if (reportsFalseHits) {
                    stats.recordReply(2, true);
                    stats.recordFetch(false);
                }
            }
            assertThat(stats.isEligible(nowMs)).isFalse();
            assertThat(stats.isEligible(nowMs + SiblingStats.PROBE_INTERVAL_MS)).isTrue();
            int probes = 0;
            for (; !stats.isEligible(nowMs + 1) || probes == 0; probes++) {
                nowMs += SiblingStats.PROBE_INTERVAL_MS;
                stats.recordQuery(nowMs);
                stats.recordReply(2, true);
                stats.recordFetch(true);
                assertThat(probes).isLessThan(200);
            }
            assertThat(stats.replyRate()).isPositive();
        }
    }
}
