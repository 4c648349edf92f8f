package cacheproxy.proxy.upstream;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests how many bytes of a streamed response may wait for its client, by the number of streamed responses. */
class StreamBudgetTest {
    private static final int KIB = 1 << 10;
    private static final int MIB = 1 << 20;

    @Test
    void sharesHalfOfTheMemoryWithinBounds() {
        StreamBudget budget = new StreamBudget(4 * MIB);
        for (int stream = 1; stream <= 32; stream++) {
            assertThat(budget.openStream()).as("stream %d", stream).isEqualTo(64 * KIB);
        }
        assertThat(budget.openStream()).isEqualTo(2 * MIB / 33);
        for (int stream = 34; stream <= 256; stream++) {
            assertThat(budget.openStream()).as("stream %d", stream).isEqualTo(2 * MIB / stream);
        }
        assertThat(budget.openStream()).as("the minimum").isEqualTo(8 * KIB);
    }

    @Test
    void sharesOneMebibyteAtLeast() {
        StreamBudget budget = new StreamBudget(0);
        for (int stream = 1; stream <= 16; stream++) {
            assertThat(budget.openStream()).as("stream %d", stream).isEqualTo(64 * KIB);
        }
        assertThat(budget.openStream()).isEqualTo(MIB / 17);
    }

    @Test
    void streamsThatHaveEndedTakeNothing() {
        StreamBudget budget = new StreamBudget(0);
        for (int round = 0; round < 100; round++) {
            for (int stream = 1; stream <= 16; stream++) {
                assertThat(budget.openStream()).isEqualTo(64 * KIB);
            }
            for (int stream = 1; stream <= 16; stream++) {
                budget.closeStream();
            }
        }
    }
}
