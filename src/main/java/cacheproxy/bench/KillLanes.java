package cacheproxy.bench;

import cacheproxy.snapshot.StoredSnapshot;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Kills of processes that write snapshots, in several lanes at once, and a tally of what the kills left. */
final class KillLanes {
    private static final int LANES = 6;
    private static final String UNFINISHED_SUFFIX = ".new";

    private final PrintWriter out;
    private final int maxKills;
    private final AtomicInteger kills = new AtomicInteger();
    private final AtomicInteger newest = new AtomicInteger();
    private final AtomicInteger previous = new AtomicInteger();
    private final AtomicInteger none = new AtomicInteger();
    private final AtomicInteger corrupt = new AtomicInteger();
    private final AtomicInteger failedStarts = new AtomicInteger();
    private final AtomicInteger unfinished = new AtomicInteger();
    private final AtomicInteger answered = new AtomicInteger();

    /** Creates lanes that share so many kills. */
    KillLanes(PrintWriter out, int maxKills) {
        this.out = out;
        this.maxKills = maxKills;
    }

    /** The work of one lane; called on a thread of its own. */
    interface Lane {
        /** Kills processes, in a directory of the lane's own, as long as {@link #takeKill} allows. */
        void run(Path directory, int lane) throws Exception;
    }

    /** Runs all lanes to their end and prints the tally. */
    void run(Path directory, Lane lane) throws Exception {
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < LANES; i++) {
            int number = i;
            Path ownDirectory = Files.createDirectory(directory.resolve("lane" + i));
            Thread thread = new Thread(() -> runLane(lane, ownDirectory, number));
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        out.printf(
                "kills %d, starts that failed %d, corrupt loads %d; found: the newest %d, the one before it %d, none %d; "
                        + "killed in the middle of a write %d; requests answered meanwhile %d%n",
                kills.get(),
                failedStarts.get(),
                corrupt.get(),
                newest.get(),
                previous.get(),
                none.get(),
                unfinished.get(),
                answered.get());
    }

    private void runLane(Lane lane, Path directory, int number) {
        try {
            lane.run(directory, number);
        } catch (Exception e) {
            failedStarts.incrementAndGet();
            out.println("lane " + number + ": " + e);
        }
    }

    /** Takes one of the kills that are left; false if there is none. */
    boolean takeKill() {
        if (kills.incrementAndGet() <= maxKills) {
            return true;
        }
        kills.decrementAndGet();
        return false;
    }

    /** Counts a process that did not start. */
    void countFailedStart() {
        failedStarts.incrementAndGet();
    }

    /** Counts a snapshot that is not as it was written, or is lost. */
    void countCorrupt() {
        corrupt.incrementAndGet();
    }

    /** Counts responses that clients got. */
    void countAnswered(int responses) {
        answered.addAndGet(responses);
    }

    /** Counts a kill in the middle of a write, by the temporary file that it left. */
    void countUnfinishedWrite(Path file) {
        if (Files.exists(file.resolveSibling(file.getFileName() + UNFINISHED_SUFFIX))) {
            unfinished.incrementAndGet();
        }
    }

    /** Counts which generation was found after a kill. */
    void countFound(StoredSnapshot found) {
        if (found.content() == null) {
            none.incrementAndGet();
        } else if (found.fromPreviousGeneration()) {
            previous.incrementAndGet();
        } else {
            newest.incrementAndGet();
        }
    }
}
