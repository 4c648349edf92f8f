package cacheproxy.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Variants that take turns, and figures of them by round. */
class RoundSamplesTest {
    @Test
    void eachRoundRunsAllVariantsAndBeginsWithAnother() throws Exception {
        List<String> order = new ArrayList<>();
        for (int round = 0; round < 3; round++) {
            RoundSamples.runRound(round, List.of("a", "b", "c"), order::add);
        }
        assertThat(order).containsExactly("a", "b", "c", "b", "c", "a", "c", "a", "b");
    }

    @Test
    void comparesVariantsWithinRounds() {
        RoundSamples<String> samples = new RoundSamples<>(List.of("base", "other", "third"), 2);
        samples.set("base", 0, 10);
        samples.set("other", 0, 15);
        samples.set("third", 0, 40);
        samples.set("base", 1, 100);
        samples.set("other", 1, 90);
        samples.set("third", 1, 1);
        assertThat(samples.of("other")).containsExactly(15, 90);
        assertThat(samples.get("third", 1)).isEqualTo(1);
        assertThat(samples.differences("other", "base")).containsExactly(5, -10);
        assertThat(samples.ratios("other", "base")).containsExactly(1.5, 0.9);
        assertThat(samples.ratiosToMean("other", "base", "third")).containsExactly(0.75, 9);
    }
}
