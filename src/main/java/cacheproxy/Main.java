package cacheproxy;

import cacheproxy.cli.Cli;
import cacheproxy.proxy.process.PlatformCommands;
import cacheproxy.simulator.SimulatorAdapter;

/**
 * Command line. The platform's commands come first and load nothing of the others: {@code serve} is one real proxy on
 * sockets, {@code adapter} speaks the simulator's wire on standard input and output ({@code drill} is its earlier name,
 * kept for scripts), {@code train} starts and ends a proxy so that the build can archive its classes. All else is
 * {@link Cli}'s.
 */
public final class Main {
    private Main() {}

    /** Runs until the input ends ({@code adapter}) or the process is told to end ({@code serve}). */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> PlatformCommands.serve();
            case "train" -> System.exit(PlatformCommands.train());
            case "adapter", "drill" -> System.exit(SimulatorAdapter.main());
            default -> System.exit(Cli.run(args));
        }
    }
}
