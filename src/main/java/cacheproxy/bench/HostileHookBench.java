package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * What hostile hooks on one listener do to traffic on another, in one daemon. Windows of time take turns in which other
 * clients, at a constant rate, send to a listener without hooks, to one without hooks again, to the one with all of the
 * hostile suite, or to one without hooks while other threads use as much CPU as the hooks' threads did.
 */
final class HostileHookBench {
    private static final long OTHERS_PERIOD_MICROS = 400;
    private static final long MEASURED_PERIOD_MICROS = 150;
    private static final int MEASURED_IN_FLIGHT = 4;
    private static final double WARM_UP_SECONDS = 4;

    /** What the other clients do in a window. */
    private enum Variant {
        CALM("calm", "calm"),
        CALM_AGAIN("calm again", "calm"),
        HOSTILE("16 hostile", "hostile"),
        CPU_LOAD("calm, burning", "calm");

        private static final List<Variant> ALL = List.of(values());

        private final String label;
        private final String listener;

        Variant(String label, String listener) {
            this.label = label;
            this.listener = listener;
        }
    }

    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    HostileHookBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    /** Measures traffic that sends without a pause, then traffic at a constant rate. */
    void run() throws Exception {
        try (EventLoopThread servers = new EventLoopThread();
                EventLoopThread measured = new EventLoopThread();
                EventLoopThread others = new EventLoopThread();
                FakeCacheServer server = FakeCacheServer.start(servers.loop(), new EffectLedger());
                Daemon daemon = HookModules.withHostileHooks(server).start(1)) {
            SaturatingLoad.storeValues(server);
            new SaturatedTraffic(daemon, measured.loop(), others.loop()).run();
            new ConstantRateTraffic(daemon, measured.loop(), others.loop()).run();
        }
    }

    /** CPU time of all hooks' threads so far, in nanoseconds. */
    private static long hookCpuNanos() {
        long sum = 0;
        for (Thread thread : Thread.getAllStackTraces().keySet()) {
            if (thread.getName().startsWith("hook ")) {
                sum += Math.max(0, ThreadCounters.cpuNanos(thread.getId()));
            }
        }
        return sum;
    }

    /** What runs beside the measured traffic in one window. */
    private static final class OtherTraffic {
        private final ConstantRateClient client = new ConstantRateClient(OTHERS_PERIOD_MICROS);
        private final Channel channel;
        private final CpuLoad cpuLoad;
        private final long hookCpuBefore;

        /** Starts it; {@code processors} are used by other threads, if the variant has them. */
        OtherTraffic(Variant variant, Daemon daemon, EventLoop loop, double processors) throws InterruptedException {
            channel = client.start(loop, daemon.address(variant.listener));
            int threads = variant == Variant.CPU_LOAD ? HookModules.HOSTILE_SUITE.size() : 0;
            cpuLoad = new CpuLoad(threads, processors, OTHERS_PERIOD_MICROS);
            hookCpuBefore = hookCpuNanos();
        }

        /** How many processors the hooks' threads have used since the start, over a window of so many seconds. */
        private double hookProcessors(double seconds) {
            return (hookCpuNanos() - hookCpuBefore) / 1e9 / seconds;
        }

        private ConstantRateClient.Count stop() throws Exception {
            ConstantRateClient.Count count = client.stop(channel);
            cpuLoad.close();
            return count;
        }
    }

    /** Counts of constant rate clients over all rounds. */
    private static final class ClientTotals {
        private long sent;
        private long answered;
        private long skipped;

        private void add(ConstantRateClient.Count count) {
            sent += count.sent();
            answered += count.answered();
            skipped += count.skipped();
        }

        private static Map<Variant, ClientTotals> perVariant() {
            Map<Variant, ClientTotals> totals = new EnumMap<>(Variant.class);
            Variant.ALL.forEach(variant -> totals.put(variant, new ClientTotals()));
            return totals;
        }
    }

    private RoundSamples<Variant> samples() {
        return new RoundSamples<>(Variant.ALL, rounds);
    }

    /** Measured traffic on a listener without hooks, in windows of all variants. */
    private abstract class MeasuredTraffic {
        final Daemon daemon;
        final EventLoop measuredLoop;
        final RoundSamples<Variant> p50Micros = samples();
        final RoundSamples<Variant> p99Micros = samples();
        private final EventLoop otherLoop;
        /** What the hooks' threads used in the last window with hostile hooks. */
        private double cpuLoadProcessors = 1;

        MeasuredTraffic(Daemon daemon, EventLoop measuredLoop, EventLoop otherLoop) {
            this.daemon = daemon;
            this.measuredLoop = measuredLoop;
            this.otherLoop = otherLoop;
        }

        /** Measures one window beside the other traffic; returns how many processors the hooks' threads used. */
        abstract double measure(Variant variant, int round, OtherTraffic other) throws Exception;

        final void runRounds() throws Exception {
            for (int i = 0; i < rounds; i++) {
                int round = i;
                RoundSamples.runRound(round, Variant.ALL, variant -> runWindow(variant, round));
            }
        }

        private void runWindow(Variant variant, int round) throws Exception {
            OtherTraffic other = new OtherTraffic(variant, daemon, otherLoop, cpuLoadProcessors);
            double hookProcessors = measure(variant, round, other);
            if (variant == Variant.HOSTILE) {
                cpuLoadProcessors = hookProcessors;
            }
        }
    }

    /** Measured traffic that keeps the loop busy: a constant number of requests in flight. */
    private final class SaturatedTraffic extends MeasuredTraffic {
        private final RoundSamples<Variant> perSecond = samples();
        private final RoundSamples<Variant> loopProcessors = samples();
        private final RoundSamples<Variant> hookProcessors = samples();
        private final Map<Variant, ClientTotals> others = ClientTotals.perVariant();

        SaturatedTraffic(Daemon daemon, EventLoop measuredLoop, EventLoop otherLoop) {
            super(daemon, measuredLoop, otherLoop);
        }

        private void run() throws Exception {
            load(WARM_UP_SECONDS);
            runRounds();
            print();
        }

        private SaturatingLoad.Result load(double loadSeconds) throws InterruptedException {
            SaturatingLoad.Target target = SaturatingLoad.Target.of(daemon, "main");
            return SaturatingLoad.run(measuredLoop, target, MEASURED_IN_FLIGHT, loadSeconds);
        }

        @Override
        double measure(Variant variant, int round, OtherTraffic other) throws Exception {
            SaturatingLoad.Result result = load(seconds);
            double usedByHooks = other.hookProcessors(seconds);
            others.get(variant).add(other.stop());
            hookProcessors.set(variant, round, usedByHooks);
            loopProcessors.set(variant, round, result.cpuMicros() * result.perSecond() / 1e6);
            p50Micros.set(variant, round, result.percentileMicros(50));
            p99Micros.set(variant, round, result.percentileMicros(99));
            perSecond.set(variant, round, result.perSecond());
            return usedByHooks;
        }

        private void print() {
            out.printf("%d windows of %.1f s each; others ask every %d us%n", rounds, seconds, OTHERS_PERIOD_MICROS);
            out.printf(
                    "%-12s %22s %22s %28s %s%n",
                    "others ask", "p50 us", "p99 us", "requests/s", "others: asked, unanswered, left out");
            for (Variant variant : Variant.ALL) {
                ClientTotals totals = others.get(variant);
                out.printf(
                        "%-12s %22s %22s %28s %d, %d, %d%n",
                        variant.label,
                        Spread.quartiles(p50Micros.of(variant)).format(0),
                        Spread.quartiles(p99Micros.of(variant)).format(0),
                        Spread.quartiles(perSecond.of(variant)).format(0),
                        totals.sent,
                        totals.sent - totals.answered,
                        totals.skipped);
            }
            out.printf(
                    "loop busy: calm %s, hostile %s; hooks' threads busy, hostile %s (processors)%n",
                    processors(loopProcessors, Variant.CALM),
                    processors(loopProcessors, Variant.HOSTILE),
                    processors(hookProcessors, Variant.HOSTILE));
            printRatios("p50", p50Micros);
            printRatios("requests/s", perSecond);
        }

        private static String processors(RoundSamples<Variant> samples, Variant variant) {
            return Spread.quartiles(samples.of(variant)).format(2);
        }
    }

    /** Measured traffic at a constant rate that leaves the loop time: what most installations see. */
    private final class ConstantRateTraffic extends MeasuredTraffic {
        private final Map<Variant, ClientTotals> measured = ClientTotals.perVariant();

        ConstantRateTraffic(Daemon daemon, EventLoop measuredLoop, EventLoop otherLoop) {
            super(daemon, measuredLoop, otherLoop);
        }

        private void run() throws Exception {
            runRounds();
            print();
        }

        @Override
        double measure(Variant variant, int round, OtherTraffic other) throws Exception {
            ConstantRateClient client = new ConstantRateClient(MEASURED_PERIOD_MICROS);
            Channel channel = client.start(measuredLoop, daemon.address("main"));
            Thread.sleep(Math.round(seconds * 1000));
            ConstantRateClient.Count count = client.stop(channel);
            double usedByHooks = other.hookProcessors(seconds);
            other.stop();
            p50Micros.set(variant, round, count.percentileMicros(50));
            p99Micros.set(variant, round, count.percentileMicros(99));
            measured.get(variant).add(count);
            return usedByHooks;
        }

        private void print() {
            out.printf(
                    "%nmeasured traffic asks every %d us%n%-12s %22s %22s %s%n",
                    MEASURED_PERIOD_MICROS, "others ask", "p50 us", "p99 us", "asked, served");
            for (Variant variant : Variant.ALL) {
                out.printf(
                        "%-12s %22s %22s %d, %d%n",
                        variant.label,
                        Spread.quartiles(p50Micros.of(variant)).format(0),
                        Spread.quartiles(p99Micros.of(variant)).format(0),
                        measured.get(variant).sent + measured.get(variant).skipped,
                        measured.get(variant).answered);
            }
            printRatios("p50", p50Micros);
        }
    }

    /** Prints ratios of the variants' values, window by window, so that what drifts with the machine is in both. */
    private void printRatios(String figure, RoundSamples<Variant> samples) {
        double[] noise = samples.ratios(Variant.CALM_AGAIN, Variant.CALM);
        double[] hostile = samples.ratiosToMean(Variant.HOSTILE, Variant.CALM, Variant.CALM_AGAIN);
        double[] cpuLoad = samples.ratiosToMean(Variant.CPU_LOAD, Variant.CALM, Variant.CALM_AGAIN);
        double[] hostileToCpuLoad = samples.ratios(Variant.HOSTILE, Variant.CPU_LOAD);
        out.println(figure + ", calm again to calm: " + Statistics.medianWithInterval(noise) + "; hostile to calm: "
                + Statistics.medianWithInterval(hostile) + "; burning threads to calm: "
                + Statistics.medianWithInterval(cpuLoad) + "; hostile to burning threads: "
                + Statistics.medianWithInterval(hostileToCpuLoad));
    }
}
