package cacheproxy.bench;

import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.LoadClient;
import cacheproxy.hooks.HookCall;
import cacheproxy.hooks.HookException;
import cacheproxy.hooks.HookInstance;
import cacheproxy.hooks.HookModule;
import cacheproxy.proxy.net.Transport;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.KeyRewrite;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteConditions;
import cacheproxy.routes.RouteInput;
import cacheproxy.routes.RouteTable;
import com.sun.management.ThreadMXBean;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.IntToLongFunction;

/**
 * What an honest hook costs, and what hostile ones on one listener do to traffic on another. Run beside {@code hooks/}.
 */
final class HookBench {
    private static final Path KIT = Path.of("hooks");
    private static final Path HOSTILE = Path.of("src/test/resources/hooks");
    private static final List<String> SUITE = List.of(
            "spin",
            "recurse",
            "trap",
            "grow",
            "grow-touch",
            "pointer",
            "long",
            "utf8",
            "logs",
            "lower",
            "unknown-route",
            "alternates",
            "burns",
            "state",
            "sometimes",
            "copies");
    private static final int KEYS = 1000;
    /**
     * Whom the other clients ask in each kind of window; in the last, threads burn what the hooks' threads did in
     * theirs.
     */
    private static final String[] LISTENERS = {"calm", "calm", "hostile", "calm"};

    private static final String[] ASKED = {"calm", "calm again", "16 hostile", "calm, burning"};
    /** The other clients' pace: the same load on the loop whatever their hooks do. */
    private static final long OTHERS_MICROS = 400;

    private static final long MEASURED_MICROS = 150;

    private final PrintWriter out;

    @SuppressWarnings("UnusedVariable") // keeps the compiler from dropping what is measured
    private long sink;

    HookBench(PrintWriter out) {
        this.out = out;
    }

    void run(boolean hostileAlone, int rounds, double seconds) throws Exception {
        if (!Files.isDirectory(KIT) || !Files.isDirectory(HOSTILE)) {
            out.println("hooks: run this in the repository, beside " + KIT + " and " + HOSTILE);
            return;
        }
        if (!hostileAlone) {
            cost();
            hop(rounds, seconds);
            reloads();
        }
        hostile(rounds, seconds);
    }

    // ---- an honest one

    private void cost() throws Exception {
        HookCall[] calls = new HookCall[1024];
        RouteInput[] subjects = new RouteInput[1024];
        for (int i = 0; i < 1024; i++) {
            String key = i % 3 == 0 ? "A:" + i + "/vi" : i % 3 == 1 ? "b-" + i + "-vi" : "C|vi|" + i;
            calls[i] = new HookCall(key, "page", "", false, false, 500);
            subjects[i] = new RouteInput("main", key, 0, 0, false);
        }
        RouteTable table = new RouteTable(List.of(
                rule(0, "^A:(.*)$", "sub/$1"),
                rule(1, "^b-([^-]*)-(.*)$", "sub/$1/$2"),
                rule(2, "^C\\|([^|]*)\\|(.*)$", "sub/$2/$1")));
        byte[] module = Files.readAllBytes(KIT.resolve("key-schemes.wasm"));
        HookInstance compiled = instance(module, true);
        HookInstance interpreted = instance(module, false);
        out.printf("%-34s %22s %12s%n", "key mapping", "ns", "garbage B");
        time("hook, compiled", i -> order(compiled, calls[i & 1023]));
        time("hook, interpreted", i -> order(interpreted, calls[i & 1023]));
        time(
                "route rule",
                i -> table.find(subjects[i & 1023]).poolKey(subjects[i & 1023]).length());
    }

    private static Route rule(int position, String regex, String replace) {
        KeyPattern pattern = new KeyPattern(regex);
        return new Route(
                "r" + position,
                0,
                position,
                RouteConditions.NONE.withPattern(pattern),
                new KeyRewrite(null, pattern, replace, null),
                null,
                new Route.ToPools(List.of("a")));
    }

    private static HookInstance instance(byte[] module, boolean compiled) throws HookException {
        return new HookInstance(
                HookModule.load(module, new HookModule.Limits(16, 200_000, 1_000_000, 1000, compiled), ""),
                System::currentTimeMillis);
    }

    private static long order(HookInstance hook, HookCall call) {
        try {
            return hook.call(call).orders().key().length();
        } catch (HookException e) {
            throw new IllegalStateException(e);
        }
    }

    private void time(String what, IntToLongFunction call) {
        int turns = 20_000;
        double[] ns = new double[9];
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long me = Thread.currentThread().getId();
        long bytes = 0;
        for (int r = -4; r < ns.length; r++) {
            bytes = threads.getThreadAllocatedBytes(me);
            long at = System.nanoTime();
            for (int i = 0; i < turns; i++) {
                sink += call.applyAsLong(i);
            }
            if (r >= 0) {
                ns[r] = (System.nanoTime() - at) / (double) turns;
            }
            bytes = threads.getThreadAllocatedBytes(me) - bytes;
        }
        Arrays.sort(ns);
        out.printf("%-34s %22s %12d%n", what, String.format("%.0f (%.0f-%.0f)", ns[4], ns[0], ns[8]), bytes / turns);
        out.flush();
    }

    /** The whole hop with a hook and without, window by window in one daemon. */
    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for these threads
    private void hop(int rounds, double seconds) throws Exception {
        MultiThreadIoEventLoopGroup nodes = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        try (FakeCacheServer node = FakeCacheServer.start(nodes.next(), new EffectLedger())) {
            for (int i = 0; i < KEYS; i++) {
                node.store("key/" + i, new byte[100]);
            }
            String text =
                    file(node, false) + "[[hook]]\nname = \"keys\"\nlistener = \"calm\"\nqueue = 1024\nmodule = \""
                            + KIT.resolve("key-schemes.wasm").toAbsolutePath() + "\"\n";
            try (Daemon daemon = Daemon.start(DaemonConfigReader.parse("bench", text), 1)) {
                for (int inHand : new int[] {1, 128}) {
                    double[][] cpu = new double[2][rounds];
                    double[][] rate = new double[2][rounds];
                    double[][] mean = new double[2][rounds];
                    for (String l : new String[] {"main", "calm"}) {
                        HopBench.load(clients.next(), daemon.address(l), inHand, daemon.threadId(), 2);
                    }
                    for (int r = 0; r < rounds; r++) {
                        for (int k = 0; k < 2; k++) {
                            int which = (k + r) % 2;
                            HopBench.Run run = HopBench.load(
                                    clients.next(),
                                    daemon.address(which == 0 ? "main" : "calm"),
                                    inHand,
                                    daemon.threadId(),
                                    seconds);
                            cpu[which][r] = run.cpuUs();
                            rate[which][r] = run.perSecond();
                            mean[which][r] = run.meanMicros();
                        }
                    }
                    for (int k = 0; k < 2; k++) {
                        out.printf(
                                "%-8d %-12s requests/s %s, mean us %s, loop's CPU us %s%n",
                                inHand,
                                k == 0 ? "no hook" : "with a hook",
                                spread(rate[k]),
                                spread(mean[k]),
                                spread(cpu[k]));
                    }
                    out.flush();
                }
            }
        } finally {
            nodes.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    // ---- reloads

    /** A thousand reloads, each with its modules compiled anew, while requests go through them. */
    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for these threads
    private void reloads() throws Exception {
        MultiThreadIoEventLoopGroup nodes = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        Path file = Files.createTempFile("hooks", ".toml");
        try (FakeCacheServer node = FakeCacheServer.start(nodes.next(), new EffectLedger())) {
            StringBuilder t = new StringBuilder(file(node, false));
            for (String h : new String[] {"key-schemes", "class-by-suffix", "tenant-list"}) {
                t.append("[[hook]]\nname = \"")
                        .append(h)
                        .append("\"\nmodule = \"")
                        .append(KIT.resolve(h + ".wasm").toAbsolutePath())
                        .append("\"\n");
            }
            Files.writeString(file, t);
            try (Daemon daemon = Daemon.start(DaemonConfigReader.read(file), 1)) {
                AtomicBoolean over = new AtomicBoolean();
                EventLoop loop = clients.next();
                long[] counts = new long[2];
                Thread load = new Thread(
                        () -> {
                            while (!over.get()) {
                                try {
                                    LoadClient.Account a = new LoadClient(
                                                    loop,
                                                    daemon.address("main"),
                                                    500,
                                                    i -> new LoadClient.Ask("A:" + i + "/vi", "", null, null))
                                            .start(2, 2)
                                            .get(60, TimeUnit.SECONDS);
                                    counts[0] += a.answered();
                                    counts[1] += a.lost + 500 - a.answered();
                                } catch (Exception e) {
                                    counts[1] += 500;
                                }
                            }
                        },
                        "clients");
                load.start();
                out.printf("%-10s %14s %16s %10s%n", "reloads", "heap MB", "metaspace MB", "threads");
                for (int i = 0; i <= 1000; i++) {
                    if (i % 250 == 0) {
                        System.gc();
                        out.printf(
                                "%-10d %14.1f %16.1f %10d%n", i, used("heap"), used("Metaspace"), Thread.activeCount());
                        out.flush();
                    }
                    daemon.reload(file);
                }
                over.set(true);
                load.join();
                out.println("requests meanwhile " + counts[0] + ", lost " + counts[1]);
            }
        } finally {
            Files.delete(file);
            nodes.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    private static double used(String what) {
        if (what.equals("heap")) {
            return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed() / 1e6;
        }
        return ManagementFactory.getMemoryPoolMXBeans().stream()
                .filter(p -> p.getName().equals(what))
                .mapToDouble(p -> p.getUsage().getUsed() / 1e6)
                .sum();
    }

    // ---- hostile ones

    @SuppressWarnings("StringConcatToTextBlock") // the line breaks are part of the generated text
    private static String file(FakeCacheServer node, boolean hooks) {
        StringBuilder t =
                new StringBuilder("[[class]]\nname = \"page\"\neffect = \"safe\"\naim_ms = 250\ndeadline_ms = 1000\n"
                        + "[[class]]\nname = \"submit\"\neffect = \"unsafe\"\naim_ms = 250\ndeadline_ms = 1000\n");
        for (String l : new String[] {"main", "calm", "hostile"}) {
            t.append("[[listen]]\nname = \"")
                    .append(l)
                    .append("\"\naddress = \"127.0.0.1:0\"\nopen = true\nclass = \"page\"\n"
                            + "write_class = \"submit\"\n");
        }
        for (String h : hooks ? SUITE : List.<String>of()) {
            t.append("[[hook]]\nname = \"")
                    .append(h)
                    .append("\"\nmodule = \"")
                    .append(HOSTILE.resolve(h + ".wasm").toAbsolutePath())
                    .append("\"\nlistener = \"hostile\"\nqueue = 16\n");
        }
        return t + "[[pool]]\nname = \"a\"\nnodes = \"plain\"\n[[pool.server]]\nname = \"n\"\ndial = \"" + node.dial()
                + "\"\n[[route]]\nname = \"all\"\npools = [\"a\"]\n";
    }

    /**
     * One daemon, one set of clients on its main listener, asking without a pause. Windows of time turn about in which
     * the other clients, at an even pace, ask a listener without hooks, one without hooks again, or the one with all of
     * the suite.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for these threads
    private void hostile(int rounds, double seconds) throws Exception {
        MultiThreadIoEventLoopGroup nodes = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        MultiThreadIoEventLoopGroup measured = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        MultiThreadIoEventLoopGroup others = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        try (FakeCacheServer node = FakeCacheServer.start(nodes.next(), new EffectLedger());
                Daemon daemon = Daemon.start(DaemonConfigReader.parse("bench", file(node, true)), 1)) {
            for (int i = 0; i < KEYS; i++) {
                node.store("key/" + i, new byte[100]);
            }
            double[][] p50 = new double[4][rounds];
            double[][] p99 = new double[4][rounds];
            double[][] perSecond = new double[4][rounds];
            double[][] busy = new double[4][rounds];
            double[][] hooksBusy = new double[4][rounds];
            long[][] other = new long[4][3];
            double burn = 1;
            HopBench.load(measured.next(), daemon.address("main"), 4, daemon.threadId(), 4); // warm
            for (int r = 0; r < rounds; r++) {
                for (int k = 0; k < 4; k++) {
                    int which = (k + r) % 4;
                    ConstantRateClient paced = new ConstantRateClient(OTHERS_MICROS);
                    Channel channel = paced.start(others.next(), daemon.address(LISTENERS[which]));
                    CpuLoad burners = which == 3 ? new CpuLoad(SUITE.size(), burn, OTHERS_MICROS) : null;
                    long hooksAt = hooksCpu();
                    HopBench.Run run =
                            HopBench.load(measured.next(), daemon.address("main"), 4, daemon.threadId(), seconds);
                    hooksBusy[which][r] = (hooksCpu() - hooksAt) / 1e9 / seconds;
                    busy[which][r] = run.cpuUs() * run.perSecond() / 1e6;
                    ConstantRateClient.Count count = paced.stop(channel);
                    if (burners != null) {
                        burners.close();
                    }
                    burn = which == 2 ? hooksBusy[2][r] : burn;
                    p50[which][r] = run.micros(50);
                    p99[which][r] = run.micros(99);
                    perSecond[which][r] = run.perSecond();
                    other[which][0] += count.asked();
                    other[which][1] += count.answered();
                    other[which][2] += count.leftOut();
                }
            }
            out.printf("%d windows of %.1f s each; others ask every %d us%n", rounds, seconds, OTHERS_MICROS);
            out.printf(
                    "%-12s %22s %22s %28s %s%n",
                    "others ask", "p50 us", "p99 us", "requests/s", "others: asked, unanswered, left out");
            for (int k = 0; k < 4; k++) {
                out.printf(
                        "%-12s %22s %22s %28s %d, %d, %d%n",
                        ASKED[k],
                        spread(p50[k]),
                        spread(p99[k]),
                        spread(perSecond[k]),
                        other[k][0],
                        other[k][0] - other[k][1],
                        other[k][2]);
            }
            out.printf(
                    "loop busy: calm %s, hostile %s; hooks' threads busy, hostile %s (processors)%n",
                    part(busy[0]), part(busy[2]), part(hooksBusy[2]));
            compare("p50", p50, rounds);
            compare("requests/s", perSecond, rounds);
            paced(daemon, measured, others, rounds, seconds);
        } finally {
            nodes.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            measured.shutdownGracefully(0, 1, TimeUnit.SECONDS);
            others.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
    }

    /** CPU time of all hooks' threads so far, ns. */
    private static long hooksCpu() {
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long sum = 0;
        for (Thread t : Thread.getAllStackTraces().keySet()) {
            sum += t.getName().startsWith("hook ") ? Math.max(0, threads.getThreadCpuTime(t.getId())) : 0;
        }
        return sum;
    }

    private static String part(double[] values) {
        double[] v = values.clone();
        Arrays.sort(v);
        return String.format("%.2f (%.2f-%.2f)", v[v.length / 2], v[v.length / 4], v[v.length * 3 / 4]);
    }

    static String spread(double[] values) {
        double[] v = values.clone();
        Arrays.sort(v);
        return String.format("%.0f (%.0f-%.0f)", v[v.length / 2], v[v.length / 4], v[v.length * 3 / 4]);
    }

    static String ratio(double[] values) {
        double[] v = values.clone();
        Arrays.sort(v);
        // The median's own interval, 95%, by the ranks between which it lies (binomial); the quartiles tell of single
        // windows.
        int reach = (int) Math.ceil(0.98 * Math.sqrt(v.length));
        return String.format(
                "%.3f (95%% %.3f to %.3f; quartiles %.3f, %.3f)",
                v[v.length / 2],
                v[Math.max(0, v.length / 2 - reach)],
                v[Math.min(v.length - 1, v.length / 2 + reach)],
                v[v.length / 4],
                v[v.length * 3 / 4]);
    }

    /**
     * The same with measured traffic that asks at an even pace, too, and leaves the loop time: what most installations
     * see.
     */
    private void paced(
            Daemon daemon,
            MultiThreadIoEventLoopGroup measured,
            MultiThreadIoEventLoopGroup others,
            int rounds,
            double seconds)
            throws Exception {
        double[][] p50 = new double[4][rounds];
        double[][] p99 = new double[4][rounds];
        long[][] served = new long[4][2];
        double burn = 1;
        for (int r = 0; r < rounds; r++) {
            for (int k = 0; k < 4; k++) {
                int which = (k + r) % 4;
                CpuLoad burners = which == 3 ? new CpuLoad(SUITE.size(), burn, OTHERS_MICROS) : null;
                long hooksAt = hooksCpu();
                ConstantRateClient other = new ConstantRateClient(OTHERS_MICROS);
                ConstantRateClient mine = new ConstantRateClient(MEASURED_MICROS);
                Channel otherChannel = other.start(others.next(), daemon.address(LISTENERS[which]));
                Channel channel = mine.start(measured.next(), daemon.address("main"));
                Thread.sleep(Math.round(seconds * 1000));
                ConstantRateClient.Count count = mine.stop(channel);
                burn = which == 2 ? (hooksCpu() - hooksAt) / 1e9 / seconds : burn;
                other.stop(otherChannel);
                if (burners != null) {
                    burners.close();
                }
                p50[which][r] = count.nanos().getValueAtPercentile(50) / 1e3;
                p99[which][r] = count.nanos().getValueAtPercentile(99) / 1e3;
                served[which][0] += count.asked() + count.leftOut();
                served[which][1] += count.answered();
            }
        }
        out.printf(
                "%nmeasured traffic asks every %d us%n%-12s %22s %22s %s%n",
                MEASURED_MICROS, "others ask", "p50 us", "p99 us", "asked, served");
        for (int k = 0; k < 4; k++) {
            out.printf(
                    "%-12s %22s %22s %d, %d%n", ASKED[k], spread(p50[k]), spread(p99[k]), served[k][0], served[k][1]);
        }
        compare("p50", p50, rounds);
    }

    /** Window by window, so that what drifts with the machine is in both. */
    private void compare(String what, double[][] of, int rounds) {
        double[] noise = new double[rounds];
        double[] ratio = new double[rounds];
        double[] burning = new double[rounds];
        double[] own = new double[rounds];
        for (int r = 0; r < rounds; r++) {
            noise[r] = of[1][r] / of[0][r];
            ratio[r] = of[2][r] / Math.sqrt(of[0][r] * of[1][r]);
            burning[r] = of[3][r] / Math.sqrt(of[0][r] * of[1][r]);
            own[r] = of[2][r] / of[3][r];
        }
        out.println(what + ", calm again to calm: " + ratio(noise) + "; hostile to calm: " + ratio(ratio)
                + "; burning threads to calm: " + ratio(burning) + "; hostile to burning threads: " + ratio(own));
    }
}
