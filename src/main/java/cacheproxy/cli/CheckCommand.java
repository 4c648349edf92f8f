package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.hooks.HookLoader;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code check}: validates a configuration file and its hook modules without starting the daemon. */
@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description = "Checks a file and reports every error as file:line:column. "
                + "Exit code 0: run would accept the file; 2: it would not.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The daemon's configuration file.")
    private Path file;

    @Override
    public Integer call() {
        PrintWriter err = spec.commandLine().getErr();
        Optional<DaemonConfig> config = ConfigFiles.read(file, err);
        if (config.isEmpty() || !hooksLoad(config.get(), err)) {
            return ExitCode.UNUSABLE;
        }
        printWarnings(config.get(), err);
        printSummary(config.get(), spec.commandLine().getOut());
        return ExitCode.OK;
    }

    private static boolean hooksLoad(DaemonConfig config, PrintWriter err) {
        try {
            HookLoader.check(config);
            return true;
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            return false;
        }
    }

    private void printWarnings(DaemonConfig config, PrintWriter err) {
        FleetConfig fleet = config.section(FleetConfig.class);
        if (fleet != null) {
            fleet.warnings().forEach(warning -> err.println(file + ": warning: " + warning));
        }
    }

    private void printSummary(DaemonConfig config, PrintWriter out) {
        out.println(file + ": good; " + config.listeners().size() + " listeners, "
                + config.pools().size() + " pools, " + config.routes().routes().size() + " routes");
    }
}
