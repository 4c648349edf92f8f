package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/**
 * Tests one proxy with random orders of its peers' actions, checked from outside. {@code -Dexplorer.orders=N} sets the
 * number of orders, {@code -Dexplorer.first=N} the first seed, and {@code -Dexplorer.trace=true} prints each event.
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
            try (Explorer explorer = new Explorer(seed, false)) {
                explorer.run(STEPS);
                assertThat(explorer.violations).as("seed " + seed).isEmpty();
                commands += explorer.commands;
                answers += explorer.answers;
                departures += explorer.departures;
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
        try (Explorer explorer = new Explorer(1, true)) {
            explorer.run(STEPS);
            assertThat(explorer.violations).isNotEmpty();
        }
    }
}
