package cacheproxy.cli;

import cacheproxy.bench.BenchCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** The daemon's command line. Exit codes: 0 done, 1 it ran and found what it looks for, 2 it could not run. */
@Command(
        name = "coralbay",
        mixinStandardHelpOptions = true,
        version = "coralbay 0.2.0",
        sortOptions = false,
        description = "A proxy in front of fleets of cache nodes.",
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
    /** Wrong input: a file, a flag, an address. */
    static final int UNUSABLE = 2;

    @CommandLine.Spec
    private CommandLine.Model.CommandSpec spec;

    /** Runs a command line; its exit code. */
    public static int run(String[] args) {
        if (System.getProperty("io.netty.allocator.type") == null) {
            // Netty's default for many threads costs more than it saves on one event loop.
            System.setProperty("io.netty.allocator.type", "pooled");
        }
        CommandLine line = new CommandLine(new Cli());
        line.setExecutionExceptionHandler((e, c, r) -> {
            String message = e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
            c.getErr().println(message.lines().findFirst().orElse(""));
            return UNUSABLE;
        });
        return line.execute(args);
    }

    @Override
    public void run() {
        throw new CommandLine.ParameterException(spec.commandLine(), "name a command");
    }
}
