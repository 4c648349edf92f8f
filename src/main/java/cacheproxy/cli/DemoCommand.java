package cacheproxy.cli;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.Demo;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code demo}: the daemon in front of fake servers in one process, optionally under load and faults. */
@Command(
        name = "demo",
        mixinStandardHelpOptions = true,
        description = "Starts fake cache servers, an origin and discovery on this machine and the daemon in front of "
                + "them. Without --requests it runs until Ctrl-C.")
final class DemoCommand implements Callable<Integer> {
    private static final int CONNECTIONS = 16;
    private static final int REQUESTS_PER_CONNECTION = 2;
    private static final int MAX_REQUESTS = 10_000_000;
    private static final double NODE_SERVICE_MS = 0.05;
    private static final double ORIGIN_SERVICE_MS = 5;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--requests",
            paramLabel = "N",
            description =
                    "Sends N requests of all classes while some servers "
                            + "stall and one restarts cold; exit code 0 only if no request is lost and none takes effect twice.")
    private int requests;

    @Option(names = "--seed", paramLabel = "N", defaultValue = "1", description = "Seed of the requests and faults.")
    private long seed;

    @Override
    public Integer call() throws Exception {
        if (requests < 0 || requests > MAX_REQUESTS) {
            spec.commandLine().getErr().println("--requests takes 1 to " + MAX_REQUESTS);
            return ExitCode.UNUSABLE;
        }
        try (FakeFleet fleet = new FakeFleet(Demo.NODE_COUNT)) {
            fleet.nodes.forEach(server -> server.setServiceTimeMs(NODE_SERVICE_MS));
            fleet.origin.setServiceTimeMs(ORIGIN_SERVICE_MS);
            Demo.fillCaches(fleet);
            try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("demo", Demo.configText(fleet)), seed)) {
                InetSocketAddress address = daemon.address("main");
                printIntroduction(address);
                if (requests == 0) {
                    new CountDownLatch(1).await();
                }
                return runLoad(fleet, address);
            }
        }
    }

    private void printIntroduction(InetSocketAddress address) {
        PrintWriter out = spec.commandLine().getOut();
        out.println("coralbay listens on 127.0.0.1:" + address.getPort() + " in front of " + Demo.NODE_COUNT
                + " fake cache servers, an origin and discovery");
        out.println("try:  printf 'mg page/1 v\\r\\n' | nc -q 1 127.0.0.1 " + address.getPort());
        out.flush();
    }

    private int runLoad(FakeFleet fleet, InetSocketAddress address) throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        List<LoadClient.LoadRequest> plan = Demo.requests(requests, seed);
        DemoFaultSchedule faults = new DemoFaultSchedule(fleet, requests, seed, out);
        LoadClient.LoadResult account = new LoadClient(fleet.loop(), address, requests, plan::get)
                .onProgress(faults::onProgress)
                .start(CONNECTIONS, REQUESTS_PER_CONNECTION)
                .get();
        account.errors.forEach(out::println);
        out.println("sent " + account.sent + " served " + account.served + " refused " + account.refused + " failed "
                + (account.failed + account.missed) + " lost " + account.lost + " repeated "
                + fleet.ledger.repeatedEffects());
        out.flush();
        return account.lost == 0 && fleet.ledger.repeatedEffects() == 0 ? ExitCode.OK : ExitCode.FAILED;
    }
}
