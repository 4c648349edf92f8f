package cacheproxy.cli;

import cacheproxy.faulttest.FaultTestRunner;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Scenario;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code fleet shrink}: searches for a smaller list of faults that still violates an invariant. */
@Command(
        name = "shrink",
        mixinStandardHelpOptions = true,
        description = "Finds fewer, shorter faults that still violate an invariant, and prints them as a scenario.")
final class FleetShrinkCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Mixin
    private FleetCommand.ScenarioOptions scenarioOptions;

    @Option(names = "--invariant", paramLabel = "NAME", description = "The invariant to check; default: all.")
    private String invariant;

    @Option(
            names = "--tries",
            paramLabel = "N",
            defaultValue = "2",
            description = "Runs of each list of faults (default: ${DEFAULT-VALUE}).")
    private int attempts;

    @Option(
            names = "--runs",
            paramLabel = "N",
            defaultValue = "60",
            description = "Maximum number of runs in total (default: ${DEFAULT-VALUE}).")
    private int maxRuns;

    @Override
    public Integer call() throws Exception {
        return FleetCommand.runPrintingErrors(spec.commandLine().getErr(), this::shrink);
    }

    private int shrink() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        Scenario scenario = scenarioOptions.read();
        List<Checker> checkers = selectCheckers();
        if (attempts < 1 || maxRuns < 1) {
            throw new IllegalArgumentException("--tries and --runs must be at least 1");
        }
        Path directory = Files.createTempDirectory("shrink");
        List<Fault> faults = FaultTestRunner.shrink(
                scenario,
                directory,
                checkers,
                attempts,
                maxRuns,
                FleetCommand.printingLines(spec.commandLine().getErr()));
        if (faults == null) {
            out.println("no invariant was violated in " + attempts + " tries");
            out.flush();
            return ExitCode.OK;
        }
        out.print(scenario.withFaults(faults).toToml());
        out.flush();
        return ExitCode.FAILED;
    }

    private List<Checker> selectCheckers() {
        List<Checker> selected = Checker.all().stream()
                .filter(checker -> invariant == null || checker.name().equals(invariant))
                .toList();
        if (selected.isEmpty()) {
            String names = Checker.all().stream().map(Checker::name).collect(Collectors.joining(", "));
            throw new IllegalArgumentException("there is no invariant '" + invariant + "'; there are: " + names);
        }
        return selected;
    }
}
