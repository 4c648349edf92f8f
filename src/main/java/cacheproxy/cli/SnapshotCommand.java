package cacheproxy.cli;

import cacheproxy.snapshot.DecodedSnapshot;
import cacheproxy.snapshot.SnapshotCodec;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.state.LearnedHotKey;
import cacheproxy.snapshot.state.LearnedServer;
import cacheproxy.snapshot.state.LearnedState;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Looks into memory files, those of a running daemon too. */
@Command(
        name = "memory",
        mixinStandardHelpOptions = true,
        description = "Looks into what a daemon remembers.",
        subcommands = {SnapshotCommand.Show.class, SnapshotCommand.Verify.class})
final class SnapshotCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name show or verify");
    }

    /** Reads one file, not the generation behind it; null after an error has been told. */
    private static DecodedSnapshot read(Path file, PrintWriter err) {
        try {
            if (Files.size(file) > SnapshotCodec.MAX_BYTES) {
                err.println(file + ": it has " + Files.size(file) + " bytes; a memory file has at most "
                        + SnapshotCodec.MAX_BYTES);
                return null;
            }
            return SnapshotCodec.decode(Files.readAllBytes(file));
        } catch (java.nio.file.NoSuchFileException e) {
            err.println(file + ": there is no such file");
        } catch (IOException e) {
            err.println(file + ": " + SnapshotStore.describe(e));
        }
        return null;
    }

    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Checks a file. Exit 0: whole; 1: damaged in part, or "
                    + "with sections of a newer program; 2: nothing in it can be used.")
    static final class Verify implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "The memory file, or FILE.old behind it.")
        private Path file;

        @Override
        public Integer call() {
            DecodedSnapshot d = read(file, spec.commandLine().getErr());
            if (d == null) {
                return Cli.UNUSABLE;
            }
            d.faults().forEach(f -> spec.commandLine().getErr().println(file + ": " + f));
            d.skipped().forEach(f -> spec.commandLine().getErr().println(file + ": skipped, " + f));
            if (d.content() == null) {
                return Cli.UNUSABLE;
            }
            boolean good = d.isComplete() && d.skipped().isEmpty();
            spec.commandLine()
                    .getOut()
                    .println(file + ": " + (good ? "whole" : "readable in part") + ", generation "
                            + d.content().generation() + ", written "
                            + Instant.ofEpochMilli((long) d.content().writtenMs()));
            return good ? 0 : 1;
        }
    }

    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints what a file says. Exit codes as of verify.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Parameters(paramLabel = "FILE", description = "The memory file, or FILE.old behind it.")
        private Path file;

        @Override
        public Integer call() {
            PrintWriter out = spec.commandLine().getOut();
            DecodedSnapshot d = read(file, spec.commandLine().getErr());
            if (d != null) {
                d.faults().forEach(f -> spec.commandLine().getErr().println(file + ": " + f));
                d.skipped().forEach(f -> spec.commandLine().getErr().println(file + ": skipped, " + f));
            }
            if (d == null || d.content() == null) {
                return Cli.UNUSABLE;
            }
            StateSnapshot r = d.content();
            double age = System.currentTimeMillis() - r.writtenMs();
            out.printf(
                    "site %s, proxy %d, generation %d, written %s, %.0f s ago%n",
                    r.site(), r.proxyNumber(), r.generation(), Instant.ofEpochMilli((long) r.writtenMs()), age / 1000);
            r.pools().forEach((name, p) -> pool(out, name, p));
            for (ServerStart b : r.serverStarts()) {
                out.printf(
                        "start %08x at %s: %s%s%n",
                        b.id(),
                        b.address(),
                        b.startMs() == 0
                                ? "not known"
                                : Instant.ofEpochMilli((long) b.startMs()).toString(),
                        b.down() ? ", was down" : "");
            }
            return d.isComplete() && d.skipped().isEmpty() ? 0 : 1;
        }

        private static void pool(PrintWriter out, String name, PoolState p) {
            LearnedState k = p.learned();
            out.printf(
                    "pool %s: answers take %.1f ms, deviation %.1f ms, fetches %.1f ms%n",
                    name,
                    k.latency().averageMs(),
                    k.latency().deviationMs(),
                    k.latency().originMs());
            out.printf(
                    "  lately asked and answered in time: servers %.1f of %.1f, origin %.1f of %.1f%n",
                    k.serverLoad().answered(),
                    k.serverLoad().sent(),
                    k.originLoad().answered(),
                    k.originLoad().sent());
            for (LearnedServer s : k.servers()) {
                out.printf(
                        "  server %08x at %s: %d failures, %d doubts, left out for %.0f ms more%n",
                        s.id(),
                        p.addresses().getOrDefault(s.id(), "?"),
                        s.failures(),
                        s.overdueAttempts(),
                        s.ejectedForMs());
            }
            for (LearnedHotKey h : k.hotKeys().keys()) {
                out.printf(
                        "  hot key %016x: %d of %.0f (%s)%n",
                        h.key(), h.count(), k.hotKeys().total(), p.keyScheme());
            }
        }
    }
}
