package cacheproxy;

import cacheproxy.cli.Cli;
import cacheproxy.proxy.process.PlatformCommands;
import cacheproxy.simulator.SimulatorAdapter;

/**
 * The program's entry point. The platform's commands are handled first and load no classes of the other commands:
 * {@code serve} runs one proxy on sockets, {@code adapter} speaks the simulator's protocol on standard input and output
 * ({@code drill} is its earlier name, kept for scripts), and {@code train} starts and ends a proxy so that the build
 * can archive its classes. {@link Cli} handles all other commands.
 */
public final class Main {
    private Main() {}

    /** Runs until the input ends ({@code adapter}) or a signal ends the process ({@code serve}). */
    public static void main(String[] args) {
        switch (args.length == 1 ? args[0] : "") {
            case "serve" -> PlatformCommands.serve();
            case "train" -> System.exit(PlatformCommands.train());
            case "adapter", "drill" -> System.exit(SimulatorAdapter.main());
            default -> System.exit(Cli.run(args));
        }
    }
}
