package cacheproxy.cli;

import cacheproxy.snapshot.DecodedSnapshot;
import cacheproxy.snapshot.SnapshotCodec;
import cacheproxy.snapshot.SnapshotStore;
import cacheproxy.snapshot.state.StateSnapshot;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code memory}: verifies and prints snapshot files, also those of a running daemon. */
@Command(
        name = "memory",
        mixinStandardHelpOptions = true,
        description = "Verifies and prints the memory files of a daemon.",
        subcommands = {SnapshotCommand.Show.class, SnapshotCommand.Verify.class})
final class SnapshotCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name show or verify");
    }

    /** The file that a subcommand reads. The previous generation next to it is not read. */
    private static final class SnapshotFile {
        @Parameters(paramLabel = "FILE", description = "The memory file, or its previous generation FILE.old.")
        private Path file;

        /** Decodes the file and prints what is damaged or skipped; returns nothing if no part of it can be used. */
        private Optional<DecodedSnapshot> read(PrintWriter err) {
            Optional<DecodedSnapshot> decoded = decode(err);
            decoded.ifPresent(snapshot -> {
                snapshot.faults().forEach(fault -> err.println(file + ": " + fault));
                snapshot.skipped().forEach(section -> err.println(file + ": skipped, " + section));
            });
            return decoded.filter(snapshot -> snapshot.content() != null);
        }

        private Optional<DecodedSnapshot> decode(PrintWriter err) {
            try {
                long bytes = Files.size(file);
                if (bytes > SnapshotCodec.MAX_BYTES) {
                    err.println(file + ": it has " + bytes + " bytes; a memory file has at most "
                            + SnapshotCodec.MAX_BYTES);
                    return Optional.empty();
                }
                return Optional.of(SnapshotCodec.decode(Files.readAllBytes(file)));
            } catch (NoSuchFileException e) {
                err.println(file + ": there is no such file");
            } catch (IOException e) {
                err.println(file + ": " + SnapshotStore.describe(e));
            }
            return Optional.empty();
        }
    }

    /** Returns whether the file is complete and all of its sections are known to this version. */
    private static boolean isIntact(DecodedSnapshot snapshot) {
        return snapshot.isComplete() && snapshot.skipped().isEmpty();
    }

    /** {@code memory verify}: checks a file and prints one line about it. */
    @Command(
            name = "verify",
            mixinStandardHelpOptions = true,
            description = "Checks a file. Exit code 0: whole; 1: damaged in part, or "
                    + "with sections of a newer program; 2: nothing in it can be used.")
    static final class Verify implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private SnapshotFile source;

        @Override
        public Integer call() {
            Optional<DecodedSnapshot> read = source.read(spec.commandLine().getErr());
            if (read.isEmpty()) {
                return ExitCode.UNUSABLE;
            }
            boolean intact = isIntact(read.get());
            StateSnapshot content = read.get().content();
            spec.commandLine()
                    .getOut()
                    .println(source.file + ": " + (intact ? "whole" : "readable in part") + ", generation "
                            + content.generation() + ", written " + Instant.ofEpochMilli((long) content.writtenMs()));
            return intact ? ExitCode.OK : ExitCode.FAILED;
        }
    }

    /** {@code memory show}: prints the content of a file. */
    @Command(
            name = "show",
            mixinStandardHelpOptions = true,
            description = "Prints the content of a file. The exit codes are those of verify.")
    static final class Show implements Callable<Integer> {
        @Spec
        private CommandSpec spec;

        @Mixin
        private SnapshotFile source;

        @Override
        public Integer call() {
            Optional<DecodedSnapshot> read = source.read(spec.commandLine().getErr());
            if (read.isEmpty()) {
                return ExitCode.UNUSABLE;
            }
            new SnapshotPrinter(spec.commandLine().getOut()).print(read.get().content(), System.currentTimeMillis());
            return isIntact(read.get()) ? ExitCode.OK : ExitCode.FAILED;
        }
    }
}
