package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class ServerCapacityTest {
    private final ServerCapacity.Shortage shortage = new ServerCapacity.Shortage();

    @Test
    void aNodeThatTurnedAConnectionAwayIsTriedAgainEverMoreSeldom() {
        ServerCapacity room = new ServerCapacity(shortage);
        double now = 1000;
        List<Double> waits = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            room.turnedAway(now);
            double from = now;
            while (!room.mayOpen(now, 0)) {
                now += 250;
            }
            waits.add(now - from);
        }
        assertThat(waits).containsExactly(500.0, 1000.0, 2000.0, 4000.0, 4000.0);
        room.taken();
        room.turnedAway(now);
        assertThat(room.mayOpen(now + 500, 0)).isTrue();
    }

    @Test
    void whoIsTurnedAwayAnywhereOpensNoSecondConnectionElsewhere() {
        ServerCapacity full = new ServerCapacity(shortage);
        ServerCapacity other = new ServerCapacity(shortage);
        assertThat(other.mayOpen(0, 1)).isTrue();
        full.turnedAway(0);
        assertThat(other.mayOpen(1, 0)).isTrue();
        assertThat(other.mayOpen(1, 1)).isFalse();
        assertThat(other.mayOpen(ServerCapacity.Shortage.SPAN_MS, 1)).isTrue();
    }

    /** Fourteen proxies before nodes that take twelve each: nobody is left without for good where others hold two. */
    @Test
    void proxiesBeforeTooSmallNodesComeToHoldOneEach() {
        int proxies = 14;
        int nodes = 20;
        int cap = 12;
        SplittableRandom random = new SplittableRandom(7);
        int[][] held = new int[proxies][nodes];
        ServerCapacity.Shortage[] shortages = new ServerCapacity.Shortage[proxies];
        ServerCapacity[][] rooms = new ServerCapacity[proxies][nodes];
        for (int p = 0; p < proxies; p++) {
            shortages[p] = new ServerCapacity.Shortage();
            for (int n = 0; n < nodes; n++) {
                rooms[p][n] = new ServerCapacity(shortages[p]);
            }
        }
        int turnedAway = 0;
        for (int now = 0;
                now < 60_000;
                now++) { // one request a millisecond; every third comes while another is out there
            int p = random.nextInt(proxies);
            int n = random.nextInt(nodes);
            boolean wants = held[p][n] == 0 || held[p][n] == 1 && random.nextInt(3) == 0;
            if (wants && rooms[p][n].mayOpen(now, held[p][n])) {
                int all = 0;
                for (int[] of : held) {
                    all += of[n];
                }
                if (all < cap) {
                    held[p][n]++;
                    rooms[p][n].taken();
                } else {
                    rooms[p][n].turnedAway(now);
                    turnedAway += now >= 30_000 ? 1 : 0;
                }
            }
            for (int of = 0; now % 1000 == 0 && of < proxies * nodes; of++) { // spare ones go where there is a shortage
                if (held[of / nodes][of % nodes] == 2 && shortages[of / nodes].scarce(now)) {
                    held[of / nodes][of % nodes] = 1;
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
        assertThat(without).isEqualTo((proxies - cap) * nodes);
        assertThat(turnedAway).as("of 30,000 requests").isLessThan(30_000 / 60);
    }
}
