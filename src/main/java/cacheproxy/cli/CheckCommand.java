package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.daemon.hooks.HookLoader;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "check",
        mixinStandardHelpOptions = true,
        description =
                "Checks a file and tells every error as file:line:column. Exit 0: run would take it; 2: it would not.")
final class CheckCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The daemon's file.")
    private Path file;

    @Override
    public Integer call() {
        DaemonConfig f = Files.read(file, spec.commandLine().getErr());
        if (f == null) {
            return Cli.UNUSABLE;
        }
        try {
            HookLoader.check(f);
        } catch (ConfigException e) {
            e.errors().forEach(spec.commandLine().getErr()::println);
            return Cli.UNUSABLE;
        }
        FleetConfig fleet = f.section(FleetConfig.class);
        if (fleet != null) {
            fleet.warnings().forEach(w -> spec.commandLine().getErr().println(file + ": warning: " + w));
        }
        spec.commandLine()
                .getOut()
                .println(file + ": good; " + f.listeners().size() + " listeners, "
                        + f.pools().size() + " pools, " + f.routes().routes().size() + " routes");
        return 0;
    }
}
