package cacheproxy.bench;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** The figures that benches print of their samples. */
class StatisticsTest {
    private static final double[] ONE_TO_NINE = {9, 1, 8, 2, 7, 3, 6, 4, 5};

    @Test
    void spreadsAreMediansWithRangeOrQuartiles() {
        assertThat(Spread.range(ONE_TO_NINE)).isEqualTo(new Spread(5, 1, 9));
        assertThat(Spread.quartiles(ONE_TO_NINE)).isEqualTo(new Spread(5, 3, 7));
        assertThat(Spread.range(new double[] {4, 1, 3, 2}).median()).isEqualTo(3);
        assertThat(new Spread(1500, 1000, 2500).dividedBy(1000)).isEqualTo(new Spread(1.5, 1, 2.5));
    }

    @Test
    void spreadIsPrintedWithStatedDigits() {
        Spread spread = new Spread(5.25, 1, 9);
        assertThat(spread.format(0)).isEqualTo("5 (1-9)");
        assertThat(spread.format(2)).isEqualTo("5.25 (1.00-9.00)");
    }

    @Test
    void samplesAreLeftAsTheyWere() {
        double[] values = {3, 1, 2};
        Spread.range(values);
        Spread.quartiles(values);
        Statistics.medianWithInterval(values);
        assertThat(values).containsExactly(3, 1, 2);
    }

    @Test
    void meanHasIntervalByStudentsT() {
        assertThat(Statistics.meanWithInterval(new double[] {1, 2, 3}, 2)).isEqualTo("2.00 +- 2.48");
        assertThat(Statistics.meanWithInterval(new double[] {5}, 0)).isEqualTo("5 +- 0.0");
        double[] many = IntStream.range(0, 100).mapToDouble(i -> i % 2).toArray();
        assertThat(Statistics.meanWithInterval(many, 3)).isEqualTo("0.500 +- 0.101");
    }

    @Test
    void medianHasIntervalByRanks() {
        assertThat(Statistics.medianWithInterval(ONE_TO_NINE))
                .isEqualTo("5.000 (95% 2.000 to 8.000; quartiles 3.000, 7.000)");
    }
}
