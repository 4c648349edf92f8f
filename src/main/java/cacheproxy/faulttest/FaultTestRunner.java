package cacheproxy.faulttest;

import cacheproxy.config.ConfigException;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.ServiceStats;
import cacheproxy.faulttest.check.Verdict;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.RunValidity;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.Shrinker;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;

/**
 * Runs scenarios: starts many processes of the program, injects faults between them, and gives a verdict on their
 * behavior.
 */
public final class FaultTestRunner {
    /** A proxy that had no fault for this long before a ping is expected to respond to the ping quickly. */
    private static final long MIN_FAULT_FREE_US = 1_000_000;

    private FaultTestRunner() {}

    /**
     * The result of a run.
     *
     * @param run the history of the run
     * @param verdict the verdict of the checkers
     * @param validity whether the machine kept up
     * @param serviceStats statistics of the whole run
     * @param measurements metrics that the history does not contain
     */
    public record Outcome(
            RunHistory run,
            Verdict verdict,
            RunValidity validity,
            ServiceStats serviceStats,
            RunMeasurements measurements) {
        /** The human-readable report. */
        public List<String> lines() {
            return OutcomeReport.lines(this);
        }
    }

    /**
     * Runs a scenario.
     *
     * @param folder directory for the history, the scenario as it was played, and each process's files; created if
     *     needed
     * @param log receives a line for each stage
     * @throws IOException if a process does not start or a fault can't be injected
     */
    public static Outcome play(Scenario scenario, Path folder, List<Checker> checkers, Consumer<String> log)
            throws IOException, InterruptedException, ConfigException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("played.toml"), scenario.toToml());
        Path file = folder.resolve("history.jsonl");
        RunMeasurements measurements;
        try (ScenarioRun scenarioRun = new ScenarioRun(scenario, folder, log)) {
            measurements = scenarioRun.play(file);
        }
        log.accept("checking");
        RunHistory run = History.read(file);
        RunValidity validity = new RunValidity(
                measurements.relayLagP99Ms(),
                measurements.relayLagMaxMs(),
                measurements.scheduleLagP99Ms(),
                pingP99Ms(run),
                measurements.busyShare(),
                measurements.droppedEvents(),
                measurements.droppedDatagrams());
        Verdict verdict = Verdict.of(run, validity.problems(), checkers);
        ServiceStats serviceStats = ServiceStats.of(run, 0, Double.MAX_VALUE);
        return new Outcome(run, verdict, validity, serviceStats, measurements);
    }

    /** Checks the history of an earlier run. Only the pings in it show whether the machine kept up. */
    public static Verdict check(Path history, List<Checker> checkers) throws IOException, ConfigException {
        RunHistory run = History.read(history);
        return Verdict.of(run, new RunValidity(0, 0, 0, pingP99Ms(run), 0, 0, 0).problems(), checkers);
    }

    /** The 99th percentile of the latency of pings to proxies without a fault; 0 if there are none. */
    private static double pingP99Ms(RunHistory run) {
        double[] latenciesMs = run.events().stream()
                .filter(event -> event.is(Event.PROXY_PINGED) && isFaultFree(run, event))
                .mapToDouble(Event::value)
                .sorted()
                .toArray();
        return latenciesMs.length == 0 ? 0 : latenciesMs[(latenciesMs.length - 1) * 99 / 100];
    }

    private static boolean isFaultFree(RunHistory run, Event ping) {
        long sentUs = ping.timeUs() - (long) (ping.value() * 1000);
        return !run.wasPausedOrDown(ping.endpoint(), sentUs - MIN_FAULT_FREE_US, ping.timeUs());
    }

    /**
     * Reduces a scenario's faults to fewer and shorter ones that still violate an invariant; returns null if the
     * original faults violate none.
     *
     * @param attempts runs of each list of faults
     * @param maxRuns limit on the total number of runs
     * @param log receives a line for each run
     */
    public static List<Fault> shrink(
            Scenario scenario, Path folder, List<Checker> checkers, int attempts, int maxRuns, Consumer<String> log)
            throws Exception {
        AtomicInteger runs = new AtomicInteger();
        Shrinker.Trial trial = faults -> {
            int number = runs.incrementAndGet();
            Path runFolder = folder.resolve("try" + number);
            Verdict verdict = play(scenario.withFaults(faults), runFolder, checkers, line -> {})
                    .verdict();
            boolean violated = verdict.invalidReasons().isEmpty() && verdict.violated();
            String result = violated ? "broken" : verdict.passed() ? "held" : "no verdict";
            log.accept("try " + number + ": " + faults.size() + " faults, " + result);
            return violated;
        };
        return new Shrinker(trial, attempts, maxRuns).shrink(scenario.faults());
    }
}
