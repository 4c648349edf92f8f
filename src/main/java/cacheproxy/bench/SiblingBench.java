package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.LossyDatagramLink;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** What a sibling is worth where every request misses, over a link without and with loss. */
final class SiblingBench {
    private static final double[] ORIGIN_SERVICE_MS = {20, 100};
    private static final double REQUESTS_PER_SECOND = 300;
    private static final int KEYS = 40_000;
    private static final int VALUE_BYTES = 100;
    private static final int SERVERS = 2;
    private static final int CONNECTIONS = 300;
    private static final long DRAIN_MS = 2000;
    private static final int LEARNING_CONNECTIONS = 8;
    private static final int LEARNING_IN_FLIGHT = 4;
    private static final long LEARNING_TIMEOUT_S = 60;

    private static final List<Variant> VARIANTS = List.of(Variant.values());

    private enum Variant {
        NO_SIBLING("no siblings", 0),
        SIBLING("a sibling", 0),
        LOSSY_SIBLING("half lost", 0.5);

        private final String label;
        /** Part of the datagrams between the siblings that is lost. */
        private final double loss;

        Variant(String label, double loss) {
            this.label = label;
            this.loss = loss;
        }
    }

    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    SiblingBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    /** Measures the cost of a message, then the worth of a sibling with a fast and with a slow origin. */
    void run() throws Exception {
        new SiblingMessageBench(out).run();
        for (double originMs : ORIGIN_SERVICE_MS) {
            new Comparison(originMs).run();
        }
    }

    /** The addresses of one of two siblings: for ICP queries (UDP) and for fetches (TCP). */
    private record SiblingAddresses(InetSocketAddress icp, InetSocketAddress fetch) {
        private static SiblingAddresses allocate() throws IOException {
            return new SiblingAddresses(LoopbackPorts.freeUdp(), LoopbackPorts.freeTcp());
        }

        private SiblingAddresses withIcp(InetSocketAddress link) {
            return new SiblingAddresses(link, fetch);
        }
    }

    private static BenchConfig config(
            FakeFleet fleet, SiblingAddresses own, SiblingAddresses sibling, boolean queriesSibling) {
        BenchConfig config = new BenchConfig()
                .serviceClass("page", "safe")
                .serviceClass("sibling", "safe")
                .openListener("main")
                .table("[[listen]]")
                .string("name", "siblings")
                .address("address", own.fetch)
                .table("[icp]")
                .address("address", own.icp)
                .string("listener", "siblings")
                .number("hold_ms", 3_600_000)
                .number("per_second", 100_000)
                .table("[[sibling]]")
                .string("name", "other")
                .address("icp", sibling.icp)
                .address("fetch", sibling.fetch)
                .string("class", "sibling")
                .pool("a");
        if (queriesSibling) {
            config.list("siblings", "other");
        }
        return config.servers(fleet.nodes)
                .origin("o", fleet.origin.dial())
                .pool("lookup")
                .servers(fleet.nodes)
                .table("[[route]]")
                .string("name", "s")
                .string("listener", "siblings")
                .list("pools", "lookup")
                .routeAll();
    }

    private static String key(int number) {
        return "key/" + number;
    }

    /** The variants at one speed of the origin; half of all keys are at the sibling. */
    private final class Comparison {
        private final double originMs;
        private final RoundSamples<Variant> inTime = new RoundSamples<>(VARIANTS, rounds);
        private final RoundSamples<Variant> fetches = new RoundSamples<>(VARIANTS, rounds);
        private final RoundSamples<Variant> p50Ms = new RoundSamples<>(VARIANTS, rounds);
        private final Map<Variant, Integer> unanswered = new EnumMap<>(Variant.class);

        Comparison(double originMs) {
            this.originMs = originMs;
        }

        private void run() throws Exception {
            try (EventLoopThread clients = new EventLoopThread();
                    FakeFleet siblingFleet = new FakeFleet(SERVERS)) {
                for (int i = 0; i < KEYS; i += 2) {
                    String key = key(i);
                    siblingFleet.nodes.forEach(server -> server.store(key, new byte[VALUE_BYTES]));
                }
                for (int i = 0; i < rounds; i++) {
                    int round = i;
                    RoundSamples.runRound(
                            round, VARIANTS, variant -> measure(siblingFleet, clients.loop(), variant, round));
                }
            }
            print();
        }

        /** One window, with a fleet and daemons of its own. */
        private void measure(FakeFleet siblingFleet, EventLoop loop, Variant variant, int round) throws Exception {
            SiblingAddresses own = SiblingAddresses.allocate();
            SiblingAddresses other = SiblingAddresses.allocate();
            try (FakeFleet fleet = new FakeFleet(SERVERS);
                    LossyDatagramLink link =
                            new LossyDatagramLink(fleet.loop(), own.icp, other.icp, round, variant.loss, 0, 0);
                    Daemon sibling = config(siblingFleet, other, own.withIcp(link.aliasAddressOfA()), false)
                            .start(round);
                    Daemon daemon = config(
                                    fleet, own, other.withIcp(link.aliasAddressOfB()), variant != Variant.NO_SIBLING)
                            .start(round)) {
                fleet.origin.setServiceTimeMs(originMs);
                readSiblingKeys(sibling, loop);
                OpenLoopLoad load = new OpenLoopLoad(loop, BenchConfig.AIM_MS, SiblingBench::key)
                        .connect(daemon.address("main"), CONNECTIONS)
                        .run(REQUESTS_PER_SECOND, seconds, DRAIN_MS);
                inTime.set(variant, round, load.inTimeRatio());
                fetches.set(variant, round, fleet.origin.fetches() / (double) load.requests());
                p50Ms.set(variant, round, load.percentileNanos(50) / 1e6);
                unanswered.merge(variant, load.unanswered(), Integer::sum);
            }
        }

        /** Reads the sibling's keys through it, so that it knows what its servers have. */
        private void readSiblingKeys(Daemon sibling, EventLoop loop) throws Exception {
            int requests = (int) (REQUESTS_PER_SECOND * (seconds + 1)) + 10;
            new LoadClient(loop, sibling.address("main"), requests / 2, Comparison::siblingRequest)
                    .start(LEARNING_CONNECTIONS, LEARNING_IN_FLIGHT)
                    .get(LEARNING_TIMEOUT_S, TimeUnit.SECONDS);
        }

        private static LoadClient.LoadRequest siblingRequest(int number) {
            return new LoadClient.LoadRequest(key(2 * number), "", null, null);
        }

        private void print() {
            out.printf(
                    "%nthe origin takes %.0f ms a fetch, 16 at once; %.0f misses a second, half of the keys at the sibling; %d windows of %.1f s%n",
                    originMs, REQUESTS_PER_SECOND, rounds, seconds);
            out.printf("%-14s %24s %24s %22s %s%n", "", "within aim", "fetches a request", "p50 ms", "unanswered");
            for (Variant variant : VARIANTS) {
                out.printf(
                        "%-14s %24s %24s %22s %d%n",
                        variant.label,
                        Statistics.meanWithInterval(inTime.of(variant), 3),
                        Statistics.meanWithInterval(fetches.of(variant), 3),
                        Statistics.meanWithInterval(p50Ms.of(variant), 2),
                        unanswered.getOrDefault(variant, 0));
            }
            for (Variant variant : List.of(Variant.SIBLING, Variant.LOSSY_SIBLING)) {
                out.println(variant.label + " less none, round by round: within aim "
                        + Statistics.meanWithInterval(inTime.differences(variant, Variant.NO_SIBLING), 3));
            }
            out.flush();
        }
    }
}
