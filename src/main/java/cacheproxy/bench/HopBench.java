package cacheproxy.bench;

import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.EffectLedger;
import cacheproxy.fakes.FakeCacheServer;
import io.netty.channel.EventLoop;
import java.io.PrintWriter;

/**
 * The whole hop: reads of a value straight from a fake server, and the same through the daemon, in turn and in one
 * process, so that the ratio holds on a noisy machine. Server, daemon and client have a thread each; what the daemon's
 * thread uses and allocates is read from the JVM.
 */
final class HopBench {
    private static final int[] IN_FLIGHT = {1, 128};
    private static final double SERVER_WARM_UP_SECONDS = 1;
    private static final double MIN_WARM_UP_SECONDS = 2;

    private final PrintWriter out;
    private final double seconds;

    /** Creates the bench; each of its runs lasts so many seconds. */
    HopBench(PrintWriter out, double seconds) {
        this.out = out;
        this.seconds = seconds;
    }

    /** Prints a row for each round at one and at many requests in flight. */
    void run(int rounds) throws Exception {
        try (EventLoopThread servers = new EventLoopThread();
                EventLoopThread clients = new EventLoopThread();
                FakeCacheServer server = FakeCacheServer.start(servers.loop(), new EffectLedger());
                Daemon daemon = config(server).start(1)) {
            SaturatingLoad.storeValues(server);
            out.printf(
                    "%-10s %8s %10s %9s %9s %9s %9s %9s%n",
                    "in hand", "round", "straight/s", "daemon/s", "ratio", "cpu us", "bytes/req", "p99 us");
            SaturatingLoad.Target direct = SaturatingLoad.Target.of(server);
            SaturatingLoad.Target proxied = SaturatingLoad.Target.of(daemon, "main");
            for (int inFlight : IN_FLIGHT) {
                EventLoop loop = clients.loop();
                SaturatingLoad.run(loop, direct, inFlight, SERVER_WARM_UP_SECONDS);
                SaturatingLoad.run(loop, proxied, inFlight, Math.max(MIN_WARM_UP_SECONDS, seconds));
                for (int round = 1; round <= rounds; round++) {
                    SaturatingLoad.Result straight = SaturatingLoad.run(loop, direct, inFlight, seconds);
                    SaturatingLoad.Result through = SaturatingLoad.run(loop, proxied, inFlight, seconds);
                    print(inFlight, round, straight, through);
                }
            }
        }
    }

    private void print(int inFlight, int round, SaturatingLoad.Result straight, SaturatingLoad.Result through) {
        out.printf(
                "%-10d %8d %10.0f %9.0f %9.3f %9.2f %9.0f %9d%n",
                inFlight,
                round,
                straight.perSecond(),
                through.perSecond(),
                through.perSecond() / straight.perSecond(),
                through.cpuMicros(),
                through.garbageBytes(),
                Math.round(through.percentileMicros(99)));
        out.flush();
    }

    private static BenchConfig config(FakeCacheServer server) {
        return new BenchConfig()
                .serviceClass("page", "safe")
                .openListener("main")
                .singleServer("n-1", server);
    }
}
