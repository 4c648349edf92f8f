package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.faulttest.FaultTestRunner;
import cacheproxy.faulttest.ScenarioReader;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.Verdict;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Scenario;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Exit codes of all: 0 held, 1 broken, 2 could not run, 3 the machine was too slow for a verdict. */
@Command(
        name = "fleet",
        mixinStandardHelpOptions = true,
        description =
                "Plays scenarios: many processes of this program, faults between them, and what they did checked from outside.",
        subcommands = {
            FleetCommand.Play.class,
            FleetCommand.Check.class,
            FleetCommand.Shrink.class,
            FleetCommand.Plan.class
        })
final class FleetCommand implements Runnable {
    private static final int NO_VERDICT = 3;

    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new picocli.CommandLine.ParameterException(spec.commandLine(), "name one of play, check, shrink, plan");
    }

    private static int code(Verdict v) {
        return v.passed() ? 0 : v.invalidReasons().isEmpty() ? 1 : NO_VERDICT;
    }

    private interface Task {
        int run() throws Exception;
    }

    private static int told(PrintWriter err, Task task) throws InterruptedException {
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
        return Cli.UNUSABLE;
    }

    /** Which scenario, by which seed. */
    static final class Choice {
        @Parameters(paramLabel = "SCENARIO", description = "The scenario's file.")
        private Path file;

        @Option(names = "--seed", paramLabel = "N", description = "Instead of the file's.")
        private Long seed;

        Scenario read() throws ConfigException {
            return ScenarioReader.read(file, seed);
        }
    }

    @Command(name = "play", mixinStandardHelpOptions = true, description = "Plays a scenario and gives a verdict.")
    static final class Play implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Choice choice;

        @Option(
                names = "--out",
                paramLabel = "DIR",
                description = "For the history, the faults as played, logs; a new folder of the " + "system's else.")
        private Path out;

        @Override
        public Integer call() throws Exception {
            PrintWriter print = spec.commandLine().getOut();
            return told(spec.commandLine().getErr(), () -> {
                Scenario s = choice.read();
                Path folder = out == null ? Files.createTempDirectory("fleet") : out;
                FaultTestRunner.Outcome o = FaultTestRunner.play(s, folder, Checker.all(), line -> {
                    print.println(line);
                    print.flush();
                });
                o.lines().forEach(print::println);
                print.println("history: " + folder.resolve("history.jsonl"));
                print.flush();
                return code(o.verdict());
            });
        }
    }

    @Command(name = "check", mixinStandardHelpOptions = true, description = "Checks a history that was written before.")
    static final class Check implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "HISTORY", description = "A file of play.")
        private Path file;

        @Override
        public Integer call() throws Exception {
            return told(spec.commandLine().getErr(), () -> {
                Verdict v = FaultTestRunner.check(file, Checker.all());
                v.lines().forEach(spec.commandLine().getOut()::println);
                spec.commandLine().getOut().flush();
                return code(v);
            });
        }
    }

    @Command(
            name = "plan",
            mixinStandardHelpOptions = true,
            description = "Prints a scenario with its lots drawn: each fault by names and times.")
    static final class Plan implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Choice choice;

        @Override
        public Integer call() throws Exception {
            return told(spec.commandLine().getErr(), () -> {
                spec.commandLine().getOut().print(choice.read().toToml());
                spec.commandLine().getOut().flush();
                return 0;
            });
        }
    }

    @Command(
            name = "shrink",
            mixinStandardHelpOptions = true,
            description = "Finds fewer, shorter faults that still break an invariant, and prints them as a scenario.")
    static final class Shrink implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private Choice choice;

        @Option(names = "--invariant", paramLabel = "NAME", description = "Only this one counts; else all do.")
        private String invariant;

        @Option(
                names = "--tries",
                paramLabel = "N",
                defaultValue = "2",
                description = "Of each list of faults (default: ${DEFAULT-VALUE}).")
        private int tries;

        @Option(
                names = "--runs",
                paramLabel = "N",
                defaultValue = "60",
                description = "In all (default: ${DEFAULT-VALUE}).")
        private int runs;

        @Override
        public Integer call() throws Exception {
            PrintWriter print = spec.commandLine().getOut();
            PrintWriter err = spec.commandLine().getErr();
            return told(err, () -> {
                Scenario s = choice.read();
                List<Checker> checkers = Checker.all().stream()
                        .filter(c -> invariant == null || c.name().equals(invariant))
                        .toList();
                if (checkers.isEmpty() || tries < 1 || runs < 1) {
                    throw new IOException(
                            checkers.isEmpty()
                                    ? "there is no invariant '" + invariant + "'; there are: "
                                            + String.join(
                                                    ", ",
                                                    Checker.all().stream()
                                                            .map(Checker::name)
                                                            .toList())
                                    : "--tries and --runs are from 1 on");
                }
                List<Fault> found =
                        FaultTestRunner.shrink(s, Files.createTempDirectory("shrink"), checkers, tries, runs, line -> {
                            err.println(line);
                            err.flush();
                        });
                if (found == null) {
                    print.println("held in " + tries + " tries");
                    print.flush();
                    return 0;
                }
                print.print(s.withFaults(found).toToml());
                print.flush();
                return 1;
            });
        }
    }
}
