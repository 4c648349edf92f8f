package cacheproxy.bench;

import cacheproxy.policy.RoutingPolicy;
import cacheproxy.simulation.FleetSimulation;
import cacheproxy.simulation.FleetSimulationConfig;
import cacheproxy.simulation.FleetSimulationResult;
import cacheproxy.simulation.SimulatedFault;
import java.io.PrintWriter;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Simulates a fleet under faults: sums over all proxies, by seeds, with the mean and its 95% interval. */
final class FleetBench {
    private static final Size[] SIZES = {new Size(6, 35), new Size(14, 60), new Size(100, 200)};
    private static final int ZONES = 4;
    private static final double LOAD = 0.68;
    private static final double SECONDS = 24;
    private static final double NORMAL_95_QUANTILE = 1.96;

    private final PrintWriter out;

    FleetBench(PrintWriter out) {
        this.out = out;
    }

    private record Size(int proxies, int servers) {
        @Override
        public String toString() {
            return proxies + ", " + servers;
        }
    }

    /** Prints a row for each size without faults, with each fault, and with all of them. */
    void run(int seeds) {
        out.printf(
                "%-50s %22s %8s %16s %16s %8s %8s %8s %8s%n",
                "proxies, nodes, trouble; means of " + seeds + " seeds",
                "served",
                "cold x",
                "attempts each",
                "crossing each",
                "full",
                "copies",
                "fetches",
                "ns/event");
        for (Size size : SIZES) {
            simulate(size, Set.of(), seeds);
            for (SimulatedFault fault : SimulatedFault.values()) {
                simulate(size, Set.of(fault), seeds);
            }
            simulate(size, EnumSet.allOf(SimulatedFault.class), seeds);
        }
    }

    private void simulate(Size size, Set<SimulatedFault> faults, int seeds) {
        FleetSimulationResult[] results = new FleetSimulationResult[seeds];
        long events = 0;
        long start = System.nanoTime();
        for (int i = 0; i < seeds; i++) {
            FleetSimulationConfig config =
                    new FleetSimulationConfig(size.proxies, size.servers, ZONES, LOAD, SECONDS, faults, i + 1);
            results[i] = new FleetSimulation(config, RoutingPolicy::new).run();
            events += results[i].events();
        }
        long nanos = System.nanoTime() - start;
        out.printf(
                "%-50s %22s %8.2f %16s %16s %8.3f %8.3f %8.3f %8d%n",
                size + ", " + describe(faults),
                meanWithInterval(results, FleetSimulationResult::servedFraction),
                Arrays.stream(results)
                        .mapToDouble(FleetSimulationResult::maxColdLoad)
                        .reduce(0, Math::max),
                meanWithInterval(results, FleetSimulationResult::attemptsPerRequest),
                meanWithInterval(results, FleetSimulationResult::crossZoneAttemptsPerRequest),
                mean(results, result -> (double) result.rejectedAttempts() / result.requests()),
                mean(results, result -> (double) result.hedgedAttempts() / result.requests()),
                mean(results, result -> (double) result.originReads() / result.requests()),
                nanos / Math.max(1, events));
        out.flush();
    }

    private static String describe(Set<SimulatedFault> faults) {
        if (faults.isEmpty()) {
            return "none";
        }
        return faults.size() > 1 ? "all" : faults.iterator().next().name().toLowerCase(Locale.ROOT);
    }

    private static double mean(FleetSimulationResult[] results, ToDoubleFunction<FleetSimulationResult> figure) {
        return Arrays.stream(results).mapToDouble(figure).sum() / results.length;
    }

    private static String meanWithInterval(
            FleetSimulationResult[] results, ToDoubleFunction<FleetSimulationResult> figure) {
        double mean = mean(results, figure);
        double variance = mean(results, result -> Math.pow(figure.applyAsDouble(result) - mean, 2));
        double half = results.length < 2 ? Double.NaN : NORMAL_95_QUANTILE * Math.sqrt(variance / (results.length - 1));
        return String.format("%.4f +- %.4f", mean, half);
    }
}
