package cacheproxy.bench;

import java.io.PrintWriter;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measurements that docs/PERFORMANCE.md reports. */
@Command(
        name = "bench",
        mixinStandardHelpOptions = true,
        description = "Measures the whole hop, the choice of a route "
                + "and the choice of a server; figures are medians with least and most.")
public final class BenchCommand implements Callable<Integer> {
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
        ChoiceBench choices = new ChoiceBench(out);
        if (only == null || only.equals("hop")) {
            new HopBench(out, seconds).run(rounds);
        }
        if (only == null || only.equals("routes")) {
            choices.routes();
        }
        if (only == null || only.equals("servers")) {
            choices.servers();
        }
        if (only == null || only.equals("import")) {
            new ImportBench(out).run(rounds);
        }
        if (only == null || only.equals("hooks") || only.equals("hostile")) {
            new HookBench(out).run("hostile".equals(only), rounds, seconds);
        }
        if (only != null && List.of("memory", "memory-cost", "kills", "cycles").contains(only)) {
            new SnapshotBench(out, rounds, seconds).run(only);
        }
        if ("siblings".equals(only)) {
            new SiblingBench(out, rounds, seconds).run();
        }
        if ("duties".equals(only)) {
            new LeaseBench(out).run(rounds);
        }
        if ("limits".equals(only)) {
            new QuotaBench(out).run(rounds);
        }
        if ("fleet".equals(only)) {
            new FleetBench(out).run(rounds);
        }
        return choices.sink() == 42 ? 1 : 0;
    }
}
