package cacheproxy.cli;

import cacheproxy.bench.BenchCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The daemon's command line: the root of all commands. Their exit codes are those of {@link ExitCode}. */
@Command(
        name = "coralbay",
        mixinStandardHelpOptions = true,
        version = "coralbay 0.2.0",
        sortOptions = false,
        description = "A proxy in front of fleets of cache servers.",
        subcommands = {
            RunCommand.class,
            CheckCommand.class,
            ExplainCommand.class,
            DemoCommand.class,
            ImportNginxCommand.class,
            HookCommand.class,
            SnapshotCommand.class,
            BenchCommand.class,
            FleetCommand.class,
            LeasesCommand.class,
            LimitsCommand.class
        },
        footer = {"", "The platform's own commands, which take no options: serve, drill, train."})
public final class Cli implements Runnable {
    private static final String NETTY_ALLOCATOR_PROPERTY = "io.netty.allocator.type";

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /**
     * Runs a command line and prints to standard output and standard error.
     *
     * @return the {@link ExitCode exit code}
     */
    public static int run(String[] args) {
        if (System.getProperty(NETTY_ALLOCATOR_PROPERTY) == null) {
            // Netty's default allocator is meant for many threads; on one event loop it costs more than it saves.
            System.setProperty(NETTY_ALLOCATOR_PROPERTY, "pooled");
        }
        CommandLine commandLine = new CommandLine(new Cli());
        commandLine.setExecutionExceptionHandler(Cli::printException);
        return commandLine.execute(args);
    }

    /** Prints the first line of an exception that a command did not handle itself. */
    private static int printException(Exception exception, CommandLine command, CommandLine.ParseResult parsed) {
        String message = exception.getMessage() == null ? exception.getClass().getSimpleName() : exception.getMessage();
        command.getErr().println(message.lines().findFirst().orElse(""));
        return ExitCode.UNUSABLE;
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name a command");
    }
}
