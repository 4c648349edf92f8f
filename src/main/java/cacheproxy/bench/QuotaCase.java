package cacheproxy.bench;

import cacheproxy.simulation.QuotaSimulation.Fault;
import cacheproxy.simulation.QuotaSimulation.FaultKind;
import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Demand for a quota, and faults, that ways of sharing it are compared under.
 *
 * @param name printed in front of the results
 * @param offered requests a second at each proxy, in spans of time that take turns
 */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
record QuotaCase(String name, double[][] offered, List<Fault> faults) {
    /** Until when each case is simulated, from 0 on. */
    static final double END_MS = 16_000;

    private static final double FAULT_AT_MS = 5000;
    private static final int OVERLOAD_FACTOR = 3;

    /** All cases for so many proxies and a quota of {@code perSecond}; three times as much is offered. */
    static List<QuotaCase> all(int proxies, double perSecond) {
        double offered = OVERLOAD_FACTOR * perSecond;
        double[] even = new double[proxies];
        Arrays.fill(even, offered / proxies);
        double[] first = single(proxies, 0, offered);
        double[] last = single(proxies, proxies - 1, offered);
        double[] skewed = skewed(proxies, offered);
        List<Integer> half = IntStream.range(0, proxies / 2).boxed().toList();
        List<Integer> sevenInTen = IntStream.range(0, proxies * 7 / 10).boxed().toList();
        return List.of(
                new QuotaCase("even", spans(even), List.of()),
                new QuotaCase("all at one", spans(first), List.of()),
                new QuotaCase("at another each second", spans(first, last), List.of()),
                new QuotaCase("as 1/i", spans(skewed), List.of()),
                new QuotaCase("dealer killed", spans(even), fault(FaultKind.KILL, 4000, List.of(0))),
                new QuotaCase("dealer stops for 1 s", spans(even), fault(FaultKind.PAUSE, 1000, List.of(0))),
                new QuotaCase("split in two for 6 s", spans(skewed), fault(FaultKind.PARTITION, 6000, half)),
                new QuotaCase("30% lost", spans(skewed), List.of(new Fault(FaultKind.LOSE, 0, END_MS, List.of(), 0.3))),
                new QuotaCase("7 in 10 restarted", spans(even), fault(FaultKind.KILL, 1500, sevenInTen)));
    }

    private static double[][] spans(double[]... spans) {
        return spans;
    }

    private static List<Fault> fault(FaultKind kind, double forMs, List<Integer> proxies) {
        return List.of(new Fault(kind, FAULT_AT_MS, forMs, proxies, 0));
    }

    private static double[] single(int proxies, int index, double offered) {
        double[] all = new double[proxies];
        all[index] = offered;
        return all;
    }

    /** Demand in proportion to 1/i for the i-th proxy. */
    private static double[] skewed(int proxies, double offered) {
        double sum = 0;
        for (int i = 0; i < proxies; i++) {
            sum += 1.0 / (i + 1);
        }
        double[] all = new double[proxies];
        for (int i = 0; i < proxies; i++) {
            all[i] = offered / sum / (i + 1);
        }
        return all;
    }
}
