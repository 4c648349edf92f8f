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
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.IntToLongFunction;

/** What one choice costs: a route among many, a server among many. */
final class ChoiceBench {
    private static final int RANKS = 8;
    /** So that the compiler can't leave the work out. */
    private long sink;

    private final PrintWriter out;

    ChoiceBench(PrintWriter out) {
        this.out = out;
    }

    void routes() {
        out.printf("%-10s %12s %12s %12s%n", "routes", "exact ns", "prefix ns", "pattern ns");
        for (int n : new int[] {10, 1_000, 10_000}) {
            List<Route> routes = new ArrayList<>();
            RouteInput[] exact = new RouteInput[1024];
            RouteInput[] prefix = new RouteInput[1024];
            RouteInput[] pattern = new RouteInput[1024];
            for (int i = 0; i < n; i++) {
                int kind = i % 10;
                // One in ten is a pattern, as where locations were written by hand; the rest halves.
                String key = "svc" + i + "/list/";
                RouteConditions conditions = RouteConditions.NONE;
                if (kind < 5) {
                    conditions = conditions.withExact(key + "index");
                } else if (kind < 9) {
                    conditions = conditions.withPrefix(key);
                } else {
                    conditions = conditions.withPattern(new KeyPattern("^svc" + i + "/v[0-9]+/"));
                }
                routes.add(new Route("r" + i, 0, i, conditions, KeyRewrite.NONE, null, new Route.Fail()));
            }
            SplittableRandom random = new SplittableRandom(3);
            for (int i = 0; i < 1024; i++) {
                int base = random.nextInt(n / 10) * 10;
                exact[i] = subject("svc" + (base + random.nextInt(5)) + "/list/index");
                prefix[i] = subject("svc" + (base + 5 + random.nextInt(4)) + "/list/" + random.nextInt(1000));
                pattern[i] = subject("svc" + (base + 9) + "/v" + random.nextInt(10) + "/x");
            }
            RouteTable table = new RouteTable(routes);
            out.printf(
                    "%-10d %12s %12s %12s%n",
                    n,
                    time(i -> table.find(exact[i & 1023]).position()),
                    time(i -> table.find(prefix[i & 1023]).position()),
                    time(i -> table.find(pattern[i & 1023]).position()));
            out.flush();
        }
    }

    private static RouteInput subject(String key) {
        return new RouteInput("main", key, 0, 0, false);
    }

    void servers() {
        out.printf("%-10s %16s %16s %16s%n", "servers", "equal us", "weighted us", "one by one us");
        for (int n :
                new int[] {10_000, 1_000, 100, 10}) { // a loop compiled for ten turns is not unrolled for ten thousand
            Placement equal = new CarpPlacement(members(n, true));
            List<Endpoint> weighted = members(n, false);
            Placement unequal = new CarpPlacement(weighted);
            Plain plain = new Plain(weighted);
            int[] top = new int[RANKS];
            long[] keys = new SplittableRandom(4).longs(1024).toArray();
            String[] figures = {
                time(i -> equal.rank(keys[i & 1023], CarpHash.keyHash(keys[i & 1023]), RANKS, top)),
                time(i -> unequal.rank(keys[i & 1023], CarpHash.keyHash(keys[i & 1023]), RANKS, top)),
                time(i -> plain.top(CarpHash.keyHash(keys[i & 1023]), RANKS, top))
            };
            out.printf("%-10d %16s %16s %16s%n", n, micros(figures[0]), micros(figures[1]), micros(figures[2]));
            out.flush();
        }
    }

    private static String micros(String nanos) {
        String[] parts = nanos.split(" ", 0);
        return String.format(
                "%.3f (%.3f-%.3f)",
                Double.parseDouble(parts[0]) / 1000,
                Double.parseDouble(parts[1].substring(1).split("-", 0)[0]) / 1000,
                Double.parseDouble(parts[1].split("-", 0)[1].replace(")", "")) / 1000);
    }

    private static List<Endpoint> members(int n, boolean equal) {
        SplittableRandom random = new SplittableRandom(n);
        List<Endpoint> members = new ArrayList<>();
        for (int i = 0; i < n; i++) {
            members.add(new Endpoint(
                    random.nextInt(), 0, 0, 0, EndpointState.READY, equal ? 1 : 0.5f + random.nextFloat(), 0));
        }
        members.sort((a, b) -> Integer.compareUnsigned(a.id(), b.id()));
        return members;
    }

    /** How it was done before: an object and a score for each server. */
    private static final class Plain {
        private static final class Server {
            int index;
            int hash;
            float multiplier;
        }

        private final Server[] ranked;
        private double[] scores = new double[RANKS];

        Plain(List<Endpoint> members) {
            float[] weights = new float[members.size()];
            for (int i = 0; i < weights.length; i++) {
                weights[i] = members.get(i).weight();
            }
            float[] x = CarpHash.multipliers(weights);
            ranked = new Server[weights.length];
            for (int i = 0; i < weights.length; i++) {
                ranked[i] = new Server();
                ranked[i].index = i;
                ranked[i].hash = CarpHash.memberHash(members.get(i).id());
                ranked[i].multiplier = x[i];
            }
        }

        int top(int keyHash, int want, int[] top) {
            int count = 0;
            for (Server s : ranked) {
                double score = CarpHash.score(keyHash, s.hash, s.multiplier);
                if (count == want && score <= scores[want - 1]) {
                    continue;
                }
                int i = count < want ? count++ : want - 1;
                for (; i > 0 && scores[i - 1] < score; i--) {
                    top[i] = top[i - 1];
                    scores[i] = scores[i - 1];
                }
                top[i] = s.index;
                scores[i] = score;
            }
            return count;
        }
    }

    /** Median, least and most of nine timings of 100 ms each, in ns a call. */
    private String time(IntToLongFunction call) {
        double[] ns = new double[9];
        for (int round = -3; round < ns.length; round++) {
            long start = System.nanoTime();
            long n = 0;
            long now;
            do {
                for (int i = 0; i < 64; i++) {
                    sink += call.applyAsLong((int) n++);
                }
                now = System.nanoTime();
            } while (now - start < 100_000_000L);
            if (round >= 0) {
                ns[round] = (double) (now - start) / n;
            }
        }
        Arrays.sort(ns);
        return String.format("%.0f (%.0f-%.0f)", ns[4], ns[0], ns[8]);
    }

    long sink() {
        return sink;
    }
}
