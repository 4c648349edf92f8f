package cacheproxy.cli;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.Demo;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts stand-in cache nodes, an origin and discovery on this machine and the daemon in front of "
                + "them. Without --requests it goes on until Ctrl-C.")
final class DemoCommand implements Callable<Integer> {
    private static final int CONNECTIONS = 16;
    private static final int DEPTH = 2;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--requests",
            paramLabel = "N",
            description = "Sends N requests of all classes while some nodes "
                    + "stall and one restarts cold; exit 0 only if none is lost and none took effect twice.")
    private int requests;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed of requests and troubles.")
    private long seed;

    @Override
    public Integer call() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        if (requests < 0 || requests > 10_000_000) {
            spec.commandLine().getErr().println("--requests takes 1 to 10000000");
            return Cli.UNUSABLE;
        }
        try (FakeFleet fleet = new FakeFleet(Demo.NODES)) {
            fleet.nodes.forEach(n -> n.work(0.05));
            fleet.origin.work(5);
            Demo.warm(fleet);
            try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("demo", Demo.file(fleet)), seed)) {
                InetSocketAddress address = daemon.address("main");
                out.println("coralbay on 127.0.0.1:" + address.getPort() + " before " + Demo.NODES
                        + " stand-in cache nodes, an origin and discovery");
                out.println("try:  printf 'mg page/1 v\\r\\n' | nc -q 1 127.0.0.1 " + address.getPort());
                out.flush();
                if (requests == 0) {
                    new CountDownLatch(1).await();
                }
                return load(fleet, address, out);
            }
        }
    }

    private int load(FakeFleet fleet, InetSocketAddress address, PrintWriter out) throws Exception {
        List<LoadClient.Ask> asks = Demo.asks(requests, seed);
        SplittableRandom random = new SplittableRandom(seed);
        int step = Math.max(1, requests / 10);
        int[] told = new int[1];
        CompletableFuture<LoadClient.Account> done = new LoadClient(fleet.loop(), address, requests, asks::get)
                .onProgress(n -> {
                    if (n < (told[0] + 1) * step || told[0] == 10) {
                        return;
                    }
                    told[0]++;
                    out.println(told[0] * 10 + "%: " + trouble(fleet, random, told[0]));
                    out.flush();
                })
                .start(CONNECTIONS, DEPTH);
        LoadClient.Account a = done.get();
        a.faults.forEach(out::println);
        out.println("sent " + a.sent + " served " + a.served + " refused " + a.refused + " failed "
                + (a.failed + a.missing) + " lost " + a.lost + " repeated " + fleet.ledger.repeated());
        out.flush();
        return a.lost == 0 && fleet.ledger.repeated() == 0 ? 0 : 1;
    }

    /** What befalls the fleet now, in words. Called on its loop, so it only orders it. */
    private static String trouble(FakeFleet fleet, SplittableRandom random, int tenth) {
        int node = random.nextInt(Demo.NODES);
        int other = (node + 1 + random.nextInt(Demo.NODES - 1)) % Demo.NODES;
        if (tenth == 5) {
            new Thread(() -> {
                        try {
                            fleet.restart(node);
                        } catch (InterruptedException e) {
                            Thread.currentThread().interrupt();
                        }
                    })
                    .start();
            return "node " + node + " restarts cold";
        }
        if (tenth < 10) {
            fleet.nodes.get(node).stall(Demo.STALL_MS);
            fleet.nodes.get(other).stall(Demo.STALL_MS);
            return "nodes " + node + " and " + other + " stall for " + (int) Demo.STALL_MS + " ms";
        }
        return "done";
    }
}
