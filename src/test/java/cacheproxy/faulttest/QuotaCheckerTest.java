package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.QuotaChecker;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.Violations;
import org.junit.jupiter.api.Test;

/** The quota checker over rates and requests in flight. */
class QuotaCheckerTest {
    private final HistoryFixture history = new HistoryFixture();

    private Violations quotaViolations(String quota) throws Exception {
        return new QuotaChecker()
                .check(new RunHistory(
                        ScenarioReader.parse("s", "[fleet]\nproxies = 3\nnodes = 4\n[limit]\n" + quota, null),
                        history.events));
    }

    /**
     * 27 reads a second, one at a time; then 40 more within 40 ms, of which 10 arrive a second time at another server.
     */
    @Test
    void findsExceededRateAndCountsRetriedRequestOnce() throws Exception {
        history.addValidRequests();
        assertThat(quotaViolations("per_second = 30\nsaved = 2").count()).isZero();
        assertThat(quotaViolations("per_second = 30\nsaved = 2").judged()).isEqualTo(270);
        assertThat(quotaViolations("per_second = 20\nsaved = 2").count())
                .as("window of 10 s")
                .isPositive();
        for (int i = 0; i < 40; i++) {
            history.at(5000 + i, "p1", Event.REQUEST_SENT, "b" + i, "read", 1000)
                    .at(5001 + i, "n1", Event.COMMAND_ARRIVED, "b" + i, "", 0)
                    .at(5001 + i + (i < 10 ? 0.5 : 0), "n2", Event.COMMAND_ARRIVED, i < 10 ? "b" + i : "", "", 0)
                    .at(5003 + i, "p1", Event.RESPONSE_RECEIVED, "b" + i, "served", 0);
        }
        assertThat(quotaViolations("per_second = 30\nsaved = 45").count()).isZero();
        assertThat(quotaViolations("per_second = 30\nsaved = 30").count())
                .as("windows of 100 ms and of 1 s")
                .isEqualTo(2);
        assertThat(quotaViolations("kind = \"keyed\"\nper_second = 30").count())
                .as("quota for another kind of request")
                .isZero();
    }

    /** An arrival that was noticed late can have happened earlier, so it must not count in a short window. */
    @Test
    void doesNotCountArrivalsThatMayBeOlderThanTheWindow() throws Exception {
        for (int i = 0; i < 40; i++) {
            history.at(100 + i, "p1", Event.REQUEST_SENT, "b" + i, "read", 1000);
            history.events.add(new Event(5_000_000 + i, 4_000_000, "n1", Event.COMMAND_ARRIVED, "b" + i, "", 0));
        }
        assertThat(quotaViolations("per_second = 10\nsaved = 1").count()).isZero();
    }

    @Test
    void findsTooManyRequestsInFlight() throws Exception {
        history.addValidRequests();
        assertThat(quotaViolations("at_once = 1").count())
                .as("each request takes 5 ms, all of which can be the transit time of the response")
                .isZero();
        for (int i = 0; i < 4; i++) {
            history.at(5000 + i, "p1", Event.REQUEST_SENT, "h" + i, "read", 1000)
                    .at(5005 + i, "n1", Event.COMMAND_ARRIVED, "h" + i, "", 0)
                    .at(5305 + i, "p1", Event.RESPONSE_RECEIVED, "h" + i, "served", 0);
        }
        assertThat(quotaViolations("at_once = 4").count()).isZero();
        assertThat(quotaViolations("at_once = 3").count()).isEqualTo(1);
    }
}
