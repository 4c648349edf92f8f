package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Random orders of what peers may do to one proxy, judged from outside. {@code -Dexplorer.orders=N} plays more of them,
 * {@code -Dexplorer.first=N} begins with another seed, {@code -Dexplorer.trace=true} prints each event.
 */
class ExplorerTest {
    private static final int ORDERS = Integer.getInteger("explorer.orders", 30);
    private static final int FIRST = Integer.getInteger("explorer.first", 1);
    private static final int STEPS = 60;

    @Test
    void eachRequestGetsItsOwnAnswerAndNoAttemptBeginsAfterItsClientHasDisconnected() throws Exception {
        int commands = 0;
        int answers = 0;
        int departures = 0;
        for (int seed = FIRST; seed < FIRST + ORDERS; seed++) {
            try (Explorer e = new Explorer(seed, false)) {
                e.run(STEPS);
                assertThat(e.violations).as("seed " + seed).isEmpty();
                commands += e.commands;
                answers += e.answers;
                departures += e.departures;
            }
        }
        System.out.printf(
                "explorer: %d orders, %d commands, %d answers, %d departures, 0 violations%n",
                ORDERS, commands, answers, departures);
        assertThat(answers).isGreaterThan(ORDERS * 5);
        assertThat(departures).isGreaterThan(ORDERS);
    }

    @Test
    void detectsAnAnswerThatBelongsToAnotherRequest() throws Exception {
        try (Explorer e = new Explorer(1, true)) {
            e.run(STEPS);
            assertThat(e.violations).isNotEmpty();
        }
    }
}
