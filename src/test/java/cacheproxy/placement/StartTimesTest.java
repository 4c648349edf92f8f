package cacheproxy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.ServerStartTimes;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Start times on the proxy's clock: no server seems older than it is, whatever the proxy's wall clock says. */
class StartTimesTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private static Endpoint memberStartedAt(int id, double startMs) {
        return new Endpoint(id, 0, 0, 0, EndpointState.READY, 1, startMs);
    }

    private static List<Endpoint> membersStartedAt(double... listedStartMs) {
        return Arrays.stream(listedStartMs)
                .mapToObj(startMs -> memberStartedAt((int) (startMs % 1000), startMs))
                .toList();
    }

    @Test
    void newestServerOfFirstListHasJustStartedAndOthersAreOlderByTheDifference() {
        for (double clockErrorMs : new double[] {-HOUR_MS, 0, HOUR_MS}) {
            StartTimes startTimes = new StartTimes();
            double nowMs = 10 * HOUR_MS + clockErrorMs;
            startTimes.recordList(nowMs, membersStartedAt(10 * HOUR_MS - 500, 10 * HOUR_MS - 4500, 0));
            assertThat(nowMs - startTimes.startedMs(10 * HOUR_MS - 500, NEVER)).isZero();
            assertThat(nowMs - startTimes.startedMs(10 * HOUR_MS - 4500, NEVER)).isEqualTo(4000);
        }
    }

    @Test
    void fresherListCorrectsFirstEstimate() {
        StartTimes startTimes = new StartTimes();
        startTimes.recordList(1000, membersStartedAt(HOUR_MS));
        assertThat(startTimes.startedMs(HOUR_MS, NEVER)).isEqualTo(1000);
        startTimes.recordList(2000, membersStartedAt(HOUR_MS + 21_000));
        assertThat(startTimes.startedMs(HOUR_MS, NEVER)).isEqualTo(2000 - 21_000);
    }

    @Test
    void futureStartDoesNotMakeLaterServersSeemWarm() {
        StartTimes startTimes = new StartTimes();
        startTimes.recordList(1000, membersStartedAt(1000 + HOUR_MS));
        startTimes.recordList(60_000, membersStartedAt(60_000));
        assertThat(startTimes.startedMs(60_000, 60_000)).isEqualTo(60_000 - StartTimes.MAX_LIST_DELAY_MS);
    }

    @Test
    void ignoresUnknownAndFutureStarts() {
        StartTimes startTimes = new StartTimes();
        startTimes.recordList(
                1000, List.of(memberStartedAt(1, 0), memberStartedAt(2, ServerStartTimes.NOT_YET_USED_MS)));
        startTimes.recordList(2000, membersStartedAt(5000));
        assertThat(startTimes.startedMs(5000, NEVER)).isEqualTo(2000);
    }

    @Test
    void noServerSeemsOlderThanItIsInRandomFleets() {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            double offsetMs = (random.nextDouble() - 0.5) * 2 * HOUR_MS;
            StartTimes startTimes = new StartTimes();
            double nowMs = 20 * HOUR_MS;
            for (int i = 0; i < 30; i++) {
                nowMs += random.nextDouble() * 5000;
                double startedMs = nowMs - random.nextDouble() * (i == 0 ? 1e6 : StartTimes.MAX_LIST_DELAY_MS);
                double listedStartMs = startedMs + offsetMs;
                startTimes.recordList(nowMs, List.of(memberStartedAt(i, listedStartMs)));
                double estimatedMs = startTimes.startedMs(listedStartMs, i == 0 ? NEVER : nowMs);
                assertThat(estimatedMs).as("seed %d start %d", seed, i).isBetween(startedMs - 1e-3, nowMs + 1e-3);
            }
        }
    }
}
