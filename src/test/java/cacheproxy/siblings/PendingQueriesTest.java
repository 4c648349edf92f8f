package cacheproxy.siblings;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which datagrams count as replies to a query, and the bound on pending queries. */
class PendingQueriesTest {
    @Test
    void countsOnlyRepliesThatMatchAPendingQuery() {
        PendingQueries<String> pendingQueries = new PendingQueries<>(3, 1000, -2);
        PendingQuery<String> query = pendingQueries.open(0, "k", List.of("a", "b"), 50);
        PendingQuery<String> wrapped = pendingQueries.open(0, "l", List.of("a"), 50);
        assertThat(wrapped.number()).as("query numbers wrap").isEqualTo(0);
        assertThat(pendingQueries
                        .matchReply(1, query.number() + 5, "a", "k", true)
                        .verdict())
                .as("a number never used")
                .isEqualTo(ReplyVerdict.UNKNOWN_QUERY);
        assertThat(pendingQueries.matchReply(1, query.number(), "c", "k", true).verdict())
                .isEqualTo(ReplyVerdict.NOT_QUERIED);
        assertThat(pendingQueries
                        .matchReply(1, query.number(), "a", "other", true)
                        .verdict())
                .isEqualTo(ReplyVerdict.KEY_MISMATCH);
        assertThat(pendingQueries.matchReply(2, query.number(), "a", "k", false).verdict())
                .isEqualTo(ReplyVerdict.MISS);
        assertThat(pendingQueries.matchReply(2, query.number(), "a", "k", true).verdict())
                .isEqualTo(ReplyVerdict.DUPLICATE);
        assertThat(query.isClosed()).isFalse();
        assertThat(pendingQueries.matchReply(3, query.number(), "b", null, true))
                .satisfies(reply -> {
                    assertThat(reply.verdict()).isEqualTo(ReplyVerdict.FIRST_HIT);
                    assertThat(reply.elapsedMs()).isEqualTo(3);
                });
        assertThat(query.isClosed()).isTrue();
        assertThat(pendingQueries
                        .matchReply(3, wrapped.number(), "a", "l", false)
                        .verdict())
                .isEqualTo(ReplyVerdict.ALL_MISSED);
        PendingQuery<String> late = pendingQueries.open(10, "m", List.of("a"), 50);
        assertThat(pendingQueries.matchReply(500, late.number(), "a", "m", true))
                .satisfies(reply -> {
                    assertThat(reply.verdict()).isEqualTo(ReplyVerdict.LATE);
                    assertThat(reply.elapsedMs())
                            .as("late replies are measured")
                            .isEqualTo(490);
                });
        assertThat(pendingQueries
                        .matchReply(5000, late.number(), "a", "m", true)
                        .verdict())
                .isEqualTo(ReplyVerdict.UNKNOWN_QUERY);
        assertThat(pendingQueries.count(ReplyVerdict.UNKNOWN_QUERY)).isEqualTo(2);
    }

    @Test
    void boundsPendingQueriesAndDropsExpiredOnes() {
        PendingQueries<String> pendingQueries = new PendingQueries<>(100, 1000, 5);
        for (int i = 0; i < 100; i++) {
            assertThat(pendingQueries.open(i, "k" + i, List.of("a"), 50)).isNotNull();
        }
        assertThat(pendingQueries.open(100, "k", List.of("a"), 50)).isNull();
        assertThat(pendingQueries.open(1151, "k", List.of("a"), 50)).isNotNull();
        assertThat(pendingQueries.size()).isLessThan(60);
    }
}
