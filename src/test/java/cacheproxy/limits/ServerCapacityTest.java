package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServerCapacityTest {
    private final ServerCapacity.ConnectionShortage shortage = new ServerCapacity.ConnectionShortage();

    @Test
    void backsOffExponentiallyWhileConnectionsAreRefused() {
        ServerCapacity capacity = new ServerCapacity(shortage);
        double nowMs = 1000;
        List<Double> waits = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            capacity.connectionRefused(nowMs);
            double refusedAtMs = nowMs;
            while (!capacity.mayOpen(nowMs, 0)) {
                nowMs += 250;
            }
            waits.add(nowMs - refusedAtMs);
        }
        assertThat(waits).containsExactly(500.0, 1000.0, 2000.0, 4000.0, 4000.0);
        capacity.connectionAccepted();
        capacity.connectionRefused(nowMs);
        assertThat(capacity.mayOpen(nowMs + 500, 0)).isTrue();
    }

    @Test
    void refusalAnywhereForbidsSecondConnectionsElsewhere() {
        ServerCapacity full = new ServerCapacity(shortage);
        ServerCapacity other = new ServerCapacity(shortage);
        assertThat(other.mayOpen(0, 1)).isTrue();
        full.connectionRefused(0);
        assertThat(other.mayOpen(1, 0)).isTrue();
        assertThat(other.mayOpen(1, 1)).isFalse();
        assertThat(other.mayOpen(ServerCapacity.ConnectionShortage.DURATION_MS, 1))
                .isTrue();
    }

    /** Fourteen proxies before nodes that take twelve each: nobody is left without for good where others hold two. */
    @Test
    void proxiesSettleOnOneConnectionEachWhenServersAreShort() {
        int proxies = 14;
        int servers = 20;
        int connectionLimit = 12;
        SplittableRandom random = new SplittableRandom(7);
        int[][] held = new int[proxies][servers];
        ServerCapacity.ConnectionShortage[] shortages = new ServerCapacity.ConnectionShortage[proxies];
        ServerCapacity[][] capacities = new ServerCapacity[proxies][servers];
        for (int proxy = 0; proxy < proxies; proxy++) {
            shortages[proxy] = new ServerCapacity.ConnectionShortage();
            for (int n = 0; n < servers; n++) {
                capacities[proxy][n] = new ServerCapacity(shortages[proxy]);
            }
        }
        int refused = 0;
        for (int nowMs = 0;
                nowMs < 60_000;
                nowMs++) { // one request a millisecond; every third comes while another is out there
            int proxy = random.nextInt(proxies);
            int n = random.nextInt(servers);
            boolean wants = held[proxy][n] == 0 || held[proxy][n] == 1 && random.nextInt(3) == 0;
            if (wants && capacities[proxy][n].mayOpen(nowMs, held[proxy][n])) {
                int all = 0;
                for (int[] of : held) {
                    all += of[n];
                }
                if (all < connectionLimit) {
                    held[proxy][n]++;
                    capacities[proxy][n].connectionAccepted();
                } else {
                    capacities[proxy][n].connectionRefused(nowMs);
                    refused += nowMs >= 30_000 ? 1 : 0;
                }
            }
            for (int of = 0;
                    nowMs % 1000 == 0 && of < proxies * servers;
                    of++) { // spare ones go where there is a shortage
                if (held[of / servers][of % servers] == 2 && shortages[of / servers].isActive(nowMs)) {
                    held[of / servers][of % servers] = 1;
                }
            }
        }
        int without = 0;
        for (int[] of : held) {
            for (int n : of) {
                assertThat(n).isLessThanOrEqualTo(1);
                without += n == 0 ? 1 : 0;
            }
        }
        assertThat(without).isEqualTo((proxies - connectionLimit) * servers);
        assertThat(refused).as("of 30,000 requests").isLessThan(30_000 / 60);
    }
}
