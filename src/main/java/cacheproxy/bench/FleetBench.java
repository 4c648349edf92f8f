package cacheproxy.bench;

import cacheproxy.policy.RoutingPolicy;
import cacheproxy.simulation.FleetSimulation;
import cacheproxy.simulation.FleetSimulationConfig;
import cacheproxy.simulation.FleetSimulationResult;
import cacheproxy.simulation.SimulatedFault;
import java.io.PrintWriter;
import java.util.EnumSet;
import java.util.Locale;
import java.util.Set;
import java.util.function.ToDoubleFunction;

/** Plays a fleet's troubles on a model of it: sums over all proxies, by seeds, with the mean and its 95% interval. */
final class FleetBench {
    private static final int[][] SIZES = {{6, 35}, {14, 60}, {100, 200}};
    private static final double LOAD = 0.68;
    private static final double SECONDS = 24;
    private final PrintWriter out;

    FleetBench(PrintWriter out) {
        this.out = out;
    }

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
        for (int[] size : SIZES) {
            play(size, Set.of(), seeds);
            for (SimulatedFault t : SimulatedFault.values()) {
                play(size, Set.of(t), seeds);
            }
            play(size, EnumSet.allOf(SimulatedFault.class), seeds);
        }
    }

    private void play(int[] size, Set<SimulatedFault> troubles, int seeds) {
        FleetSimulationResult[] reports = new FleetSimulationResult[seeds];
        long events = 0;
        long started = System.nanoTime();
        for (int i = 0; i < seeds; i++) {
            reports[i] = new FleetSimulation(
                            new FleetSimulationConfig(size[0], size[1], 4, LOAD, SECONDS, troubles, i + 1),
                            RoutingPolicy::new)
                    .run();
            events += reports[i].events();
        }
        long nanos = System.nanoTime() - started;
        double worst = 0;
        for (FleetSimulationResult r : reports) {
            worst = Math.max(worst, r.maxColdLoad());
        }
        out.printf(
                "%-50s %22s %8.2f %16s %16s %8.3f %8.3f %8.3f %8d%n",
                size[0] + ", " + size[1] + ", "
                        + (troubles.isEmpty()
                                ? "none"
                                : troubles.size() > 1
                                        ? "all"
                                        : troubles.iterator().next().name().toLowerCase(Locale.ROOT)),
                mean(reports, FleetSimulationResult::servedFraction),
                worst,
                mean(reports, FleetSimulationResult::attemptsPerRequest),
                mean(reports, FleetSimulationResult::crossZoneAttemptsPerRequest),
                of(reports, r -> (double) r.rejectedAttempts() / r.requests()),
                of(reports, r -> (double) r.hedgedAttempts() / r.requests()),
                of(reports, r -> (double) r.originReads() / r.requests()),
                nanos / Math.max(1, events));
        out.flush();
    }

    private static double of(FleetSimulationResult[] reports, ToDoubleFunction<FleetSimulationResult> figure) {
        double sum = 0;
        for (FleetSimulationResult r : reports) {
            sum += figure.applyAsDouble(r);
        }
        return sum / reports.length;
    }

    private static String mean(FleetSimulationResult[] reports, ToDoubleFunction<FleetSimulationResult> figure) {
        double mean = of(reports, figure);
        double square = of(reports, r -> Math.pow(figure.applyAsDouble(r) - mean, 2));
        double error = reports.length < 2 ? Double.NaN : 1.96 * Math.sqrt(square / (reports.length - 1));
        return String.format("%.4f +- %.4f", mean, error);
    }
}
