package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import io.netty.channel.EventLoop;
import java.io.PrintWriter;
import java.util.List;

/** The whole hop through one daemon, by a listener with a hook and by one without, in turn. */
final class HookHopBench {
    private static final int[] IN_FLIGHT = {1, 128};
    private static final double WARM_UP_SECONDS = 2;
    private static final int HOOK_QUEUE = 1024;
    private static final List<Variant> VARIANTS = List.of(Variant.values());

    private enum Variant {
        NO_HOOK("no hook", "main"),
        HOOK("with a hook", "calm");

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

    HookHopBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    /** Prints a row for each listener at one and at many requests in flight. */
    void run() throws Exception {
        try (EventLoopThread servers = new EventLoopThread();
                EventLoopThread clients = new EventLoopThread();
                FakeCacheServer server = FakeCacheServer.start(servers.loop(), new EffectLedger())) {
            SaturatingLoad.storeValues(server);
            BenchConfig config = HookModules.withoutHooks(server)
                    .hook("keys", HookModules.honest("key-schemes"))
                    .string("listener", Variant.HOOK.listener)
                    .number("queue", HOOK_QUEUE);
            try (Daemon daemon = config.start(1)) {
                for (int inFlight : IN_FLIGHT) {
                    compare(daemon, clients.loop(), inFlight);
                }
            }
        }
    }

    private void compare(Daemon daemon, EventLoop loop, int inFlight) throws Exception {
        RoundSamples<Variant> cpuMicros = new RoundSamples<>(VARIANTS, rounds);
        RoundSamples<Variant> perSecond = new RoundSamples<>(VARIANTS, rounds);
        RoundSamples<Variant> meanMicros = new RoundSamples<>(VARIANTS, rounds);
        for (Variant variant : VARIANTS) {
            SaturatingLoad.run(loop, SaturatingLoad.Target.of(daemon, variant.listener), inFlight, WARM_UP_SECONDS);
        }
        for (int i = 0; i < rounds; i++) {
            int round = i;
            RoundSamples.runRound(round, VARIANTS, variant -> {
                SaturatingLoad.Target target = SaturatingLoad.Target.of(daemon, variant.listener);
                SaturatingLoad.Result result = SaturatingLoad.run(loop, target, inFlight, seconds);
                cpuMicros.set(variant, round, result.cpuMicros());
                perSecond.set(variant, round, result.perSecond());
                meanMicros.set(variant, round, result.meanMicros());
            });
        }
        for (Variant variant : VARIANTS) {
            out.printf(
                    "%-8d %-12s requests/s %s, mean us %s, loop's CPU us %s%n",
                    inFlight,
                    variant.label,
                    Spread.quartiles(perSecond.of(variant)).format(0),
                    Spread.quartiles(meanMicros.of(variant)).format(0),
                    Spread.quartiles(cpuMicros.of(variant)).format(0));
        }
        out.flush();
    }
}
