package cacheproxy.bench;

import java.io.PrintWriter;
import java.util.Set;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code bench}: the measurements that docs/PERFORMANCE.md reports. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures the whole hop, the choice of a route "
                + "and the choice of a server; figures are medians with least and most.")
public final class BenchCommand implements Callable<Integer> {
    private static final Set<String> SNAPSHOT_BENCHES = Set.of("memory", "memory-cost", "kills", "cycles");

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--only",
            paramLabel = "WHAT",
            description =
                    "hop, routes, servers, import, hooks, "
                            + "hostile (hooks), memory, memory-cost, kills or cycles (of memory), siblings, duties, limits or fleet (models; --rounds seeds); else all but the last eight.")
    private String only;

    @Option(names = "--seconds", paramLabel = "S", defaultValue = "3", description = "Length of each run of the hop.")
    private double seconds;

    @Option(names = "--rounds", paramLabel = "N", defaultValue = "5", description = "Runs of the hop.")
    private int rounds;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        out.println("java " + System.getProperty("java.vm.version") + ", "
                + Runtime.getRuntime().availableProcessors() + " processors, heap "
                + (Runtime.getRuntime().maxMemory() >> 20) + " MB");
        if (only == null) {
            runDefaults(out);
        } else {
            run(only, out);
        }
        return 0;
    }

    private void runDefaults(PrintWriter out) throws Exception {
        for (String name : new String[] {"hop", "routes", "servers", "import", "hooks"}) {
            run(name, out);
        }
    }

    /** Runs one bench; none if the name is unknown. */
    private void run(String name, PrintWriter out) throws Exception {
        if (SNAPSHOT_BENCHES.contains(name)) {
            new SnapshotBench(out, rounds, seconds).run(name);
            return;
        }
        switch (name) {
            case "hop" -> new HopBench(out, seconds).run(rounds);
            case "routes" -> new ChoiceBench(out).routes();
            case "servers" -> new ChoiceBench(out).servers();
            case "import" -> new ImportBench(out).run(rounds);
            case "hooks" -> new HookBench(out, rounds, seconds).run(false);
            case "hostile" -> new HookBench(out, rounds, seconds).run(true);
            case "siblings" -> new SiblingBench(out, rounds, seconds).run();
            case "duties" -> new LeaseBench(out).run(rounds);
            case "limits" -> new QuotaBench(out).run(rounds);
            case "fleet" -> new FleetBench(out).run(rounds);
            default -> {}
        }
    }
}
