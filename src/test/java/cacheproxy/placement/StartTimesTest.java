package cacheproxy.placement;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.limits.ServerStartTimes;
import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.State;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** No server seems older than it is, whatever the proxy's wall clock says, and with time none much younger. */
class StartTimesTest {
    private static final double HOUR_MS = 3_600_000;
    private static final double NEVER = Double.NEGATIVE_INFINITY;

    private static Member born(int id, double bornMs) {
        return new Member(id, 0, 0, 0, State.READY, 1, bornMs);
    }

    private static List<Member> list(double... born) {
        return Arrays.stream(born).mapToObj(b -> born((int) (b % 1000), b)).toList();
    }

    @Test
    void theFirstListsNewestHasJustStartedAndOthersAreOlderByWhatLiesBetween() {
        for (double wrong : new double[] {-HOUR_MS, 0, HOUR_MS}) {
            StartTimes times = new StartTimes();
            double now = 10 * HOUR_MS + wrong;
            times.listed(now, list(10 * HOUR_MS - 500, 10 * HOUR_MS - 4500, 0));
            assertThat(now - times.startedMs(10 * HOUR_MS - 500, NEVER)).isZero();
            assertThat(now - times.startedMs(10 * HOUR_MS - 4500, NEVER)).isEqualTo(4000);
        }
    }

    @Test
    void quickerNewsCorrectsTheFirstGuess() {
        StartTimes times = new StartTimes();
        times.listed(1000, list(HOUR_MS));
        assertThat(times.startedMs(HOUR_MS, NEVER)).isEqualTo(1000);
        times.listed(2000, list(HOUR_MS + 21_000));
        assertThat(times.startedMs(HOUR_MS, NEVER)).isEqualTo(2000 - 21_000);
    }

    @Test
    void aStartInTheFutureMakesNoServerThatStartsLaterSeemWarm() {
        StartTimes times = new StartTimes();
        times.listed(1000, list(1000 + HOUR_MS));
        times.listed(60_000, list(60_000));
        assertThat(times.startedMs(60_000, 60_000)).isEqualTo(60_000 - StartTimes.LONGEST_NEWS_MS);
    }

    @Test
    void whatHasNotStartedYetAndLongAgoSayNothing() {
        StartTimes times = new StartTimes();
        times.listed(1000, List.of(born(1, 0), born(2, ServerStartTimes.NOT_YET_USED_MS)));
        times.listed(2000, list(5000));
        assertThat(times.startedMs(5000, NEVER)).isEqualTo(2000);
    }

    @Test
    void inRandomFleetsNoServerSeemsOlderThanItIs() {
        for (int seed = 1; seed <= 500; seed++) {
            Random random = new Random(seed);
            double offset = (random.nextDouble() - 0.5) * 2 * HOUR_MS;
            StartTimes times = new StartTimes();
            double now = 20 * HOUR_MS;
            for (int i = 0; i < 30; i++) {
                now += random.nextDouble() * 5000;
                double started = now - random.nextDouble() * (i == 0 ? 1e6 : StartTimes.LONGEST_NEWS_MS);
                double born = started + offset;
                times.listed(now, List.of(born(i, born)));
                double seemed = times.startedMs(born, i == 0 ? NEVER : now);
                assertThat(seemed).as("seed %d start %d", seed, i).isBetween(started - 1e-3, now + 1e-3);
            }
        }
    }
}
