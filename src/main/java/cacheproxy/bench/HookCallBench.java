package cacheproxy.bench;

import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookException;
import cacheproxy.hooks.HookInstance;
import cacheproxy.hooks.HookModule;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteConditions;
import cacheproxy.routes.RouteInput;
import cacheproxy.routes.RouteTable;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.util.List;

/** The cost of one call of a hook that maps keys, compiled and interpreted, beside that of the same route rules. */
final class HookCallBench {
    private static final int CALLS_PER_ROUND = 20_000;
    private static final int INPUTS = 1024;
    private static final int INPUT_MASK = INPUTS - 1;
    private static final int MEMORY_PAGES = 16;
    private static final long FUEL = 200_000;
    private static final long LOAD_FUEL = 1_000_000;
    private static final double TIMEOUT_MS = 1000;

    private final PrintWriter out;

    HookCallBench(PrintWriter out) {
        this.out = out;
    }

    /** Prints a row for each way to map a key. */
    void run() throws IOException, HookException {
        HookCall[] calls = new HookCall[INPUTS];
        RouteInput[] inputs = new RouteInput[INPUTS];
        for (int i = 0; i < INPUTS; i++) {
            String key = key(i);
            calls[i] = new HookCall(key, "page", "", false, false, 500);
            inputs[i] = new RouteInput("main", key, 0, 0, false);
        }
        RouteTable table = new RouteTable(List.of(
                rule(0, "^A:(.*)$", "sub/$1"),
                rule(1, "^b-([^-]*)-(.*)$", "sub/$1/$2"),
                rule(2, "^C\\|([^|]*)\\|(.*)$", "sub/$2/$1")));
        byte[] module = Files.readAllBytes(HookModules.honest("key-schemes"));
        HookInstance compiled = instance(module, true);
        HookInstance interpreted = instance(module, false);
        CallCostTable costs = new CallCostTable(out, "key mapping", CALLS_PER_ROUND);
        costs.row("hook, compiled", i -> mappedLength(compiled, calls[i & INPUT_MASK]));
        costs.row("hook, interpreted", i -> mappedLength(interpreted, calls[i & INPUT_MASK]));
        costs.row("route rule", i -> mappedLength(table, inputs[i & INPUT_MASK]));
    }

    /** A key in one of the three schemes that the hook and the rules know. */
    private static String key(int number) {
        return switch (number % 3) {
            case 0 -> "A:" + number + "/vi";
            case 1 -> "b-" + number + "-vi";
            default -> "C|vi|" + number;
        };
    }

    private static Route rule(int position, String regex, String replacement) {
        KeyPattern pattern = new KeyPattern(regex);
        return new Route(
                "r" + position,
                0,
                position,
                RouteConditions.NONE.withPattern(pattern),
                new KeyRewrite(null, pattern, replacement, null),
                null,
                new Route.ToPools(List.of("a")));
    }

    private static HookInstance instance(byte[] module, boolean compiled) throws HookException {
        HookModule.Limits limits = new HookModule.Limits(MEMORY_PAGES, FUEL, LOAD_FUEL, TIMEOUT_MS, compiled);
        return new HookInstance(HookModule.load(module, limits, ""), System::currentTimeMillis);
    }

    private static long mappedLength(HookInstance hook, HookCall call) {
        try {
            return hook.call(call).orders().key().length();
        } catch (HookException e) {
            throw new IllegalStateException(e);
        }
    }

    private static long mappedLength(RouteTable table, RouteInput input) {
        return table.find(input).poolKey(input).length();
    }
}
