package cacheproxy.bench;

import cacheproxy.placement.CarpPlacement;
import cacheproxy.placement.Placement;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointState;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteConditions;
import cacheproxy.routes.RouteInput;
import cacheproxy.routes.RouteTable;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToLongFunction;

/** What one choice costs: a route among many, a server among many. */
final class ChoiceBench {
    private static final int RANKS = 8;
    private static final int INPUTS = 1024;
    private static final int INPUT_MASK = INPUTS - 1;
    private static final int[] ROUTE_COUNTS = {10, 1_000, 10_000};
    /** The greatest first: a loop compiled for ten turns is not unrolled for ten thousand. */
    private static final int[] SERVER_COUNTS = {10_000, 1_000, 100, 10};

    private static final int WARM_UP_ROUNDS = 3;
    private static final int ROUNDS = 9;
    private static final long ROUND_NANOS = 100_000_000;
    private static final int CALLS_PER_CLOCK_READ = 64;
    private static final int NANOS_PER_MICRO = 1000;

    private final PrintWriter out;

    @SuppressWarnings("UnusedVariable") // keeps the compiler from dropping what is measured
    private long sink;

    ChoiceBench(PrintWriter out) {
        this.out = out;
    }

    /** Prints, for each number of routes, the time to find one by exact key, prefix and pattern. */
    void routes() {
        out.printf("%-10s %12s %12s %12s%n", "routes", "exact ns", "prefix ns", "pattern ns");
        for (int count : ROUTE_COUNTS) {
            RouteTable table = new RouteTable(makeRoutes(count));
            SplittableRandom random = new SplittableRandom(3);
            RouteInput[] exact = new RouteInput[INPUTS];
            RouteInput[] prefix = new RouteInput[INPUTS];
            RouteInput[] pattern = new RouteInput[INPUTS];
            for (int i = 0; i < INPUTS; i++) {
                int base = random.nextInt(count / 10) * 10;
                exact[i] = input("svc" + (base + random.nextInt(5)) + "/list/index");
                prefix[i] = input("svc" + (base + 5 + random.nextInt(4)) + "/list/" + random.nextInt(1000));
                pattern[i] = input("svc" + (base + 9) + "/v" + random.nextInt(10) + "/x");
            }
            out.printf(
                    "%-10d %12s %12s %12s%n",
                    count, timeLookups(table, exact), timeLookups(table, prefix), timeLookups(table, pattern));
            out.flush();
        }
    }

    /**
     * Of ten routes five are exact, four are prefixes and one is a pattern, as where locations were written by hand.
     */
    private static List<Route> makeRoutes(int count) {
        List<Route> routes = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int kind = i % 10;
            String prefix = "svc" + i + "/list/";
            RouteConditions conditions;
            if (kind < 5) {
                conditions = RouteConditions.NONE.withExact(prefix + "index");
            } else if (kind < 9) {
                conditions = RouteConditions.NONE.withPrefix(prefix);
            } else {
                conditions = RouteConditions.NONE.withPattern(new KeyPattern("^svc" + i + "/v[0-9]+/"));
            }
            routes.add(new Route("r" + i, 0, i, conditions, KeyRewrite.NONE, null, new Route.Fail()));
        }
        return routes;
    }

    private static RouteInput input(String key) {
        return new RouteInput("main", key, 0, 0, false);
    }

    private String timeLookups(RouteTable table, RouteInput[] inputs) {
        return time(i -> table.find(inputs[i & INPUT_MASK]).position()).format(0);
    }

    /**
     * Prints, for each number of servers, the time to rank them by equal and by different weights, and in a plain way.
     */
    void servers() {
        out.printf("%-10s %16s %16s %16s%n", "servers", "equal us", "weighted us", "one by one us");
        for (int count : SERVER_COUNTS) {
            List<Endpoint> weighted = makeEndpoints(count, false);
            Placement equalPlacement = new CarpPlacement(makeEndpoints(count, true));
            Placement weightedPlacement = new CarpPlacement(weighted);
            LinearRanking linear = new LinearRanking(weighted);
            int[] top = new int[RANKS];
            long[] keys = new SplittableRandom(4).longs(INPUTS).toArray();
            Spread equalNanos = time(i -> rank(equalPlacement, keys[i & INPUT_MASK], top));
            Spread weightedNanos = time(i -> rank(weightedPlacement, keys[i & INPUT_MASK], top));
            Spread linearNanos = time(i -> linear.rank(CarpHash.keyHash(keys[i & INPUT_MASK]), RANKS, top));
            out.printf("%-10d %16s %16s %16s%n", count, micros(equalNanos), micros(weightedNanos), micros(linearNanos));
            out.flush();
        }
    }

    private static int rank(Placement placement, long key, int[] top) {
        return placement.rank(key, CarpHash.keyHash(key), RANKS, top);
    }

    private static String micros(Spread nanos) {
        return nanos.dividedBy(NANOS_PER_MICRO).format(3);
    }

    private static List<Endpoint> makeEndpoints(int count, boolean equalWeights) {
        SplittableRandom random = new SplittableRandom(count);
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int id = random.nextInt();
            float weight = equalWeights ? 1 : 0.5f + random.nextFloat();
            endpoints.add(new Endpoint(id, 0, 0, 0, EndpointState.READY, weight, 0));
        }
        endpoints.sort((left, right) -> Integer.compareUnsigned(left.id(), right.id()));
        return endpoints;
    }

    /** The plain way to rank: an object and a score for each server. */
    private static final class LinearRanking {
        private static final class Server {
            private int index;
            private int hash;
            private float multiplier;
        }

        private final Server[] servers;
        private final double[] scores = new double[RANKS];

        LinearRanking(List<Endpoint> endpoints) {
            float[] weights = new float[endpoints.size()];
            for (int i = 0; i < weights.length; i++) {
                weights[i] = endpoints.get(i).weight();
            }
            float[] multipliers = CarpHash.multipliers(weights);
            servers = new Server[weights.length];
            for (int i = 0; i < weights.length; i++) {
                servers[i] = new Server();
                servers[i].index = i;
                servers[i].hash = CarpHash.memberHash(endpoints.get(i).id());
                servers[i].multiplier = multipliers[i];
            }
        }

        private int rank(int keyHash, int wanted, int[] top) {
            int count = 0;
            for (Server server : servers) {
                double score = CarpHash.score(keyHash, server.hash, server.multiplier);
                if (count == wanted && score <= scores[wanted - 1]) {
                    continue;
                }
                int i = count < wanted ? count++ : wanted - 1;
                for (; i > 0 && scores[i - 1] < score; i--) {
                    top[i] = top[i - 1];
                    scores[i] = scores[i - 1];
                }
                top[i] = server.index;
                scores[i] = score;
            }
            return count;
        }
    }

    /** Median, least and greatest time of a call in nanoseconds, of rounds of equal length. */
    private Spread time(IntToLongFunction call) {
        double[] nanos = new double[ROUNDS];
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            long start = System.nanoTime();
            long calls = 0;
            long now;
            do {
                for (int i = 0; i < CALLS_PER_CLOCK_READ; i++) {
                    sink += call.applyAsLong((int) calls++);
                }
                now = System.nanoTime();
            } while (now - start < ROUND_NANOS);
            if (round >= 0) {
                nanos[round] = (double) (now - start) / calls;
            }
        }
        return Spread.range(nanos);
    }
}
