package cacheproxy.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** The benches of snapshots: what one is worth after a restart, what writing costs, and what kills leave of it. */
final class SnapshotBench {
    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    /** Creates the bench; {@code rounds} is also the number of kills, {@code seconds} the length of a window. */
    SnapshotBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    /** Runs {@code kills}, {@code cycles}, {@code memory-cost} or {@code memory} in a temporary directory. */
    void run(String name) throws Exception {
        Path directory = Files.createTempDirectory("memory-bench");
        try {
            switch (name) {
                case "kills" -> new SnapshotKillBench(out, rounds).run(directory);
                case "cycles" -> new DaemonKillBench(out, rounds).run(directory);
                case "memory-cost" -> new SnapshotWriteBench(out, rounds, seconds).run(directory);
                default -> new RestartBench(out, rounds).run(directory);
            }
        } finally {
            delete(directory);
        }
        out.flush();
    }

    private static void delete(Path directory) throws IOException {
        List<Path> files;
        try (Stream<Path> all = Files.walk(directory)) {
            files = all.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }
}
