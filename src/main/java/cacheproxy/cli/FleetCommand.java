package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.faulttest.FaultTestRunner;
import cacheproxy.faulttest.ScenarioReader;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.Verdict;
import cacheproxy.faulttest.scenario.Scenario;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.function.Consumer;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * {@code fleet}: fault tests of many processes. Its subcommands return {@link ExitCode#OK} if all invariants held,
 * {@link ExitCode#FAILED} if one was violated, {@link ExitCode#UNUSABLE} if the test could not run and
 * {@link ExitCode#NO_VERDICT} if the machine was too slow for a verdict.
 */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description = "Runs scenarios: starts many processes of this program, injects faults between them, "
                + "and checks from outside what they did.",
        subcommands = {
            FleetCommand.Play.class,
            FleetCommand.Check.class,
            FleetShrinkCommand.class,
            FleetCommand.Plan.class
        })
final class FleetCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name one of play, check, shrink, plan");
    }

    /** The body of a subcommand. */
    interface Task {
        /** Runs the subcommand and returns its exit code; exceptions other than interrupts are printed. */
        int run() throws Exception;
    }

    /** Runs a subcommand's body; if it throws, prints the error and returns {@link ExitCode#UNUSABLE}. */
    static int runPrintingErrors(PrintWriter err, Task task) throws InterruptedException {
        try {
            return task.run();
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
        } catch (InterruptedException e) {
            throw e;
        } catch (Exception e) {
            err.println(e.getMessage());
        }
        err.flush();
        return ExitCode.UNUSABLE;
    }

    /** Returns a consumer that prints each line and flushes the output. */
    static Consumer<String> printingLines(PrintWriter writer) {
        return line -> {
            writer.println(line);
            writer.flush();
        };
    }

    private static int exitCode(Verdict verdict) {
        if (verdict.passed()) {
            return ExitCode.OK;
        }
        return verdict.invalidReasons().isEmpty() ? ExitCode.FAILED : ExitCode.NO_VERDICT;
    }

    /** The scenario file of a subcommand, and the seed that replaces the file's own. */
    static final class ScenarioOptions {
        @Parameters(paramLabel = "SCENARIO", description = "The scenario file.")
        private Path file;

        @Option(names = "--seed", paramLabel = "N", description = "Replaces the seed in the file.")
        private Long seed;

        /** Reads the scenario. */
        Scenario read() throws ConfigException {
            return ScenarioReader.read(file, seed);
        }
    }

    /** {@code fleet play}: runs a scenario and checks its history. */
    @Command(name = "play", mixinStandardHelpOptions = true, description = "Runs a scenario and prints a verdict.")
    static final class Play implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private ScenarioOptions scenarioOptions;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "Directory for the history, the injected faults and logs; "
                        + "default: a new temporary directory.")
        private Path outputDirectory;

        @Override
        public Integer call() throws Exception {
            return runPrintingErrors(spec.commandLine().getErr(), this::play);
        }

        private int play() throws Exception {
            PrintWriter out = spec.commandLine().getOut();
            Scenario scenario = scenarioOptions.read();
            Path directory = outputDirectory == null ? Files.createTempDirectory("fleet") : outputDirectory;
            FaultTestRunner.Outcome outcome =
                    FaultTestRunner.play(scenario, directory, Checker.all(), printingLines(out));
            outcome.lines().forEach(out::println);
            out.println("history: " + directory.resolve("history.jsonl"));
            out.flush();
            return exitCode(outcome.verdict());
        }
    }

    /** {@code fleet check}: checks the history of an earlier run. */
    @Command(name = "check", mixinStandardHelpOptions = true, description = "Checks the history of an earlier run.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "HISTORY", description = "A history file written by play.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return runPrintingErrors(spec.commandLine().getErr(), this::check);
        }

        private int check() throws Exception {
            PrintWriter out = spec.commandLine().getOut();
            Verdict verdict = FaultTestRunner.check(file, Checker.all());
            verdict.lines().forEach(out::println);
            out.flush();
            return exitCode(verdict);
        }
    }

    /** {@code fleet plan}: prints a scenario after its random choices have been made. */
    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Prints a scenario with its random choices made: each fault with its targets and times.")
    static final class Plan implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private ScenarioOptions scenarioOptions;

        @Override
        public Integer call() throws Exception {
            PrintWriter out = spec.commandLine().getOut();
            return runPrintingErrors(spec.commandLine().getErr(), () -> {
                out.print(scenarioOptions.read().toToml());
                out.flush();
                return ExitCode.OK;
            });
        }
    }
}
