package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.daemon.Daemon;
import cacheproxy.proxy.process.SighupHandler;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description = "Runs the daemon. SIGHUP: reads the file again; SIGTERM: answers what it has and ends.")
final class RunCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The daemon's file.")
    private Path file;

    @Option(
            names = "--seed-from",
            paramLabel = "MEMORY",
            description = "A sibling's memory file: what it has learned counts for "
                    + "half, where this proxy remembers nothing itself.")
    private Path seedFrom;

    @Override
    public Integer call() throws Exception {
        PrintWriter err = spec.commandLine().getErr();
        DaemonConfig f = Files.read(file, err);
        if (f == null) {
            return Cli.UNUSABLE;
        }
        Daemon daemon;
        try {
            daemon = Daemon.start(f, new SecureRandom().nextLong(), seedFrom);
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            return Cli.UNUSABLE;
        }
        daemon.reloadBy(() -> reload(daemon, err));
        if (!SighupHandler.install(() -> reload(daemon, err))) {
            err.println(SighupHandler.IGNORED_MESSAGE);
        }
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::drain));
        daemon.addresses()
                .forEach((name, address) -> err.println("listening on "
                        + address.getAddress().getHostAddress() + ":" + address.getPort() + " (" + name + ")"));
        err.flush();
        new CountDownLatch(1).await(); // the shutdown hook ends the process
        return 0;
    }

    private void reload(Daemon daemon, PrintWriter err) {
        try {
            daemon.reload(file);
            err.println("goes by " + file + " as it is now");
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            err.println("nothing has changed");
        } catch (RuntimeException e) {
            err.println("the file could not be taken over, please report this: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        err.flush();
    }
}
