package cacheproxy.cli;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.daemon.Daemon;
import cacheproxy.proxy.process.ServiceSignals;
import cacheproxy.proxy.process.SighupHandler;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code run}: starts the daemon and blocks until the process ends. */
@Command(
        name = "run",
        mixinStandardHelpOptions = true,
        description =
                "Runs the daemon. SIGHUP: reloads the file; SIGTERM: completes the requests in progress and ends.")
final class RunCommand implements Callable<Integer> {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "FILE", description = "The daemon's configuration file.")
    private Path file;

    @Option(
            names = "--seed-from",
            paramLabel = "MEMORY",
            description = "A sibling's memory file; its learned state is used with half its weight "
                    + "where this proxy has none of its own.")
    private Path siblingSnapshot;

    @Override
    public Integer call() throws Exception {
        PrintWriter err = spec.commandLine().getErr();
        ServiceSignals signals = ServiceSignals.install(line -> printLine(err, line));
        Optional<DaemonConfig> config = ConfigFiles.read(file, err);
        if (config.isEmpty()) {
            return ExitCode.UNUSABLE;
        }
        Daemon daemon;
        try {
            daemon = Daemon.start(
                    config.get(), new SecureRandom().nextLong(), siblingSnapshot, signals::mayAcceptConnections);
        } catch (ConfigException e) {
            signals.startFailed();
            e.errors().forEach(err::println);
            return ExitCode.UNUSABLE;
        } catch (Exception e) {
            signals.startFailed();
            throw e;
        } catch (Error e) {
            signals.startFailed();
            err.println("can't start: " + e);
            return ExitCode.UNUSABLE;
        }
        daemon.onReloadRequest(signals::requestReload);
        signals.started(() -> reload(daemon, err), daemon::drain);
        if (!signals.receivesSighup()) {
            err.println(SighupHandler.IGNORED_MESSAGE);
        }
        printListeners(daemon, err);
        new CountDownLatch(1).await(); // the shutdown hook ends the process
        return ExitCode.OK;
    }

    private static void printLine(PrintWriter err, String line) {
        err.println(line);
        err.flush();
    }

    private static void printListeners(Daemon daemon, PrintWriter err) {
        daemon.addresses()
                .forEach((name, address) -> err.println("listening on "
                        + address.getAddress().getHostAddress() + ":" + address.getPort() + " (" + name + ")"));
        err.flush();
    }

    /** Reloads the file; if it is invalid, the daemon keeps its configuration. */
    private void reload(Daemon daemon, PrintWriter err) {
        try {
            daemon.reload(file);
            err.println("uses " + file + " as it is now");
        } catch (ConfigException e) {
            e.errors().forEach(err::println);
            err.println("nothing has changed");
        } catch (RuntimeException e) {
            err.println("the file could not be applied, please report this: " + e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        err.flush();
    }
}
