package cacheproxy.bench;

import java.io.PrintWriter;
import java.nio.file.Files;

/** The benches of hooks, in turn: what an honest hook costs, reloads, and hostile hooks. */
final class HookBench {
    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    /** Creates the bench; its windows last so many seconds and are repeated for so many rounds. */
    HookBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    /** Runs all of them, or the hostile hooks alone. Needs the repository's modules in the working directory. */
    void run(boolean hostileOnly) throws Exception {
        if (!Files.isDirectory(HookModules.HONEST) || !Files.isDirectory(HookModules.HOSTILE)) {
            out.println(
                    "hooks: run this in the repository, beside " + HookModules.HONEST + " and " + HookModules.HOSTILE);
            return;
        }
        if (!hostileOnly) {
            new HookCallBench(out).run();
            new HookHopBench(out, rounds, seconds).run();
            new HookReloadBench(out).run();
        }
        new HostileHookBench(out, rounds, seconds).run();
    }
}
