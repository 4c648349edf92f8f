package cacheproxy.bench;

import cacheproxy.config.Addresses;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.daemon.Daemon;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.LossyDatagramLink;
import cacheproxy.icp.IcpCodec;
import cacheproxy.icp.IcpMessage;
import cacheproxy.icp.MalformedMessageException;
import cacheproxy.proxy.net.Transport;
import cacheproxy.siblings.CacheDigest;
import com.sun.management.ThreadMXBean;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.PrintWriter;
import java.lang.management.ManagementFactory;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.IntToLongFunction;

/** What siblings are worth where keys miss, with whole and with lossy ways between them, and what a message costs. */
final class SiblingBench {
    private static final double AIM_MS = 250;
    private static final double PER_SECOND = 300;
    private static final int KEYS = 40_000;
    private static final String[] ARMS = {"no siblings", "a sibling", "half lost"};
    private final PrintWriter out;
    private final int rounds;
    private final double seconds;

    @SuppressWarnings("UnusedVariable") // keeps the compiler from dropping what is measured
    private long sink;

    SiblingBench(PrintWriter out, int rounds, double seconds) {
        this.out = out;
        this.rounds = rounds;
        this.seconds = seconds;
    }

    void run() throws Exception {
        messages();
        for (double originMs : new double[] {20, 100}) {
            pressure(originMs);
        }
    }

    private static InetSocketAddress udp() throws Exception {
        try (DatagramSocket s = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    private static InetSocketAddress tcp() throws Exception {
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) s.getLocalSocketAddress();
        }
    }

    private static String file(
            FakeFleet fleet,
            InetSocketAddress icp,
            InetSocketAddress fetch,
            InetSocketAddress siblingIcp,
            InetSocketAddress siblingFetch,
            boolean asks) {
        StringBuilder servers = new StringBuilder();
        fleet.nodes.forEach(n -> servers.append("[[pool.server]]\nname = \"n")
                .append(n.address().getPort())
                .append("\"\ndial = \"")
                .append(n.dial())
                .append("\"\n"));
        return "[[class]]\nname = \"page\"\neffect = \"safe\"\naim_ms = " + (int) AIM_MS
                + "\ndeadline_ms = 1000\n[[class]]\nname = \"sibling\"\n"
                + "effect = \"safe\"\naim_ms = 250\ndeadline_ms = 1000\n[[listen]]\nname = \"main\"\naddress = \"127.0.0.1:0\"\nopen = true\n"
                + "class = \"page\"\n[[listen]]\nname = \"siblings\"\naddress = \"" + Addresses.text(fetch)
                + "\"\n[icp]\naddress = \""
                + Addresses.text(icp)
                + "\"\nlistener = \"siblings\"\nhold_ms = 3600000\nper_second = 100000\n[[sibling]]\nname = \"other\"\nicp = \""
                + Addresses.text(siblingIcp) + "\"\nfetch = \"" + Addresses.text(siblingFetch)
                + "\"\nclass = \"sibling\"\n[[pool]]\nname = \"a\"\n"
                + (asks ? "siblings = [\"other\"]\n" : "") + servers + "[pool.origin]\nname = \"o\"\ndial = \""
                + fleet.origin.dial()
                + "\"\n[[pool]]\nname = \"lookup\"\n" + servers
                + "[[route]]\nname = \"s\"\nlistener = \"siblings\"\npools = [\"lookup\"]\n"
                + "[[route]]\nname = \"all\"\npools = [\"a\"]\n";
    }

    /**
     * Every request misses; half of all keys are at the sibling. A fresh fleet and daemon for each window, arms turn
     * about.
     */
    @SuppressWarnings("FutureReturnValueIgnored") // the run is over; nothing waits for these threads
    private void pressure(double originMs) throws Exception {
        MultiThreadIoEventLoopGroup clients = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        double[][] inTime = new double[3][rounds];
        double[][] fetches = new double[3][rounds];
        double[][] p50 = new double[3][rounds];
        int[] unanswered = new int[3];
        try (FakeFleet other = new FakeFleet(2)) {
            for (int i = 0; i < KEYS; i += 2) {
                String key = "key/" + i;
                other.nodes.forEach(n -> n.store(key, new byte[100]));
            }
            for (int r = 0; r < rounds; r++) {
                for (int k = 0; k < 3; k++) {
                    int arm = (k + r) % 3;
                    InetSocketAddress icpA = udp();
                    InetSocketAddress icpB = udp();
                    InetSocketAddress fetchA = tcp();
                    InetSocketAddress fetchB = tcp();
                    try (FakeFleet own = new FakeFleet(2);
                            LossyDatagramLink link =
                                    new LossyDatagramLink(own.loop(), icpA, icpB, r, arm == 2 ? 0.5 : 0, 0, 0);
                            Daemon b = Daemon.start(
                                    DaemonConfigReader.parse(
                                            "bench", file(other, icpB, fetchB, link.towardsA(), fetchA, false)),
                                    r);
                            Daemon a = Daemon.start(
                                    DaemonConfigReader.parse(
                                            "bench", file(own, icpA, fetchA, link.towardsB(), fetchB, arm > 0)),
                                    r)) {
                        own.origin.work(originMs);
                        int n = (int) (PER_SECOND * (seconds + 1)) + 10;
                        new LoadClient(
                                        clients.next(),
                                        b.address("main"),
                                        n / 2,
                                        i -> new LoadClient.Ask("key/" + 2 * i, "", null, null))
                                .start(8, 4)
                                .get(60, TimeUnit.SECONDS); // its nodes answer, so that it knows what they have
                        OpenLoopLoad load = new OpenLoopLoad(clients.next(), AIM_MS, i -> "key/" + i)
                                .connect(a.address("main"), 300)
                                .run(PER_SECOND, seconds, 2000);
                        inTime[arm][r] = load.inTime / (double) load.asked;
                        fetches[arm][r] = own.origin.fetches() / (double) load.asked;
                        p50[arm][r] = load.nanos.getValueAtPercentile(50) / 1e6;
                        unanswered[arm] += load.asked - load.served - load.refused - load.failed;
                    }
                }
            }
        } finally {
            clients.shutdownGracefully(0, 1, TimeUnit.SECONDS);
        }
        out.printf(
                "%nthe origin takes %.0f ms a fetch, 16 at once; %.0f misses a second, half of the keys at the sibling; %d windows of %.1f s%n",
                originMs, PER_SECOND, rounds, seconds);
        out.printf("%-14s %24s %24s %22s %s%n", "", "within aim", "fetches a request", "p50 ms", "unanswered");
        for (int a = 0; a < 3; a++) {
            out.printf(
                    "%-14s %24s %24s %22s %d%n",
                    ARMS[a],
                    SnapshotBench.mean(inTime[a], 3),
                    SnapshotBench.mean(fetches[a], 3),
                    SnapshotBench.mean(p50[a], 2),
                    unanswered[a]);
        }
        for (int a = 1; a < 3; a++) {
            double[] gain = new double[rounds];
            for (int r = 0; r < rounds; r++) {
                gain[r] = inTime[a][r] - inTime[0][r];
            }
            out.println(ARMS[a] + " less none, round by round: within aim " + SnapshotBench.mean(gain, 3));
        }
        out.flush();
    }

    // ---- what a message costs

    private void messages() throws Exception {
        IcpMessage query = IcpMessage.query(7, 0, "http://coralbay/page/1234567890");
        ByteBuf datagram = IcpCodec.encode(ByteBufAllocator.DEFAULT, query);
        CacheDigest digest = new CacheDigest(1 << 16, 60_000, 100);
        Map<Long, Integer> map = new HashMap<>();
        for (int i = 0; i < 60_000; i++) {
            digest.add(1e12, i * 0x9E37L, i % 100);
            map.put(i * 0x9E37L, i % 100);
        }
        out.printf("%-34s %22s %12s%n", "on one thread", "ns", "garbage B");
        time("question written", i -> {
            ByteBuf b = IcpCodec.encode(ByteBufAllocator.DEFAULT, query);
            int n = b.readableBytes();
            b.release();
            return n;
        });
        time("question read", i -> {
            try {
                return IcpCodec.decode(datagram).requestNumber();
            } catch (MalformedMessageException e) {
                throw new IllegalStateException(e);
            }
        });
        time("digest asked", i -> digest.contains(1e12, (i & 65_535) * 0x9E37L) ? 1 : 0);
        time("digest told", i -> {
            digest.add(1e12 + i, (i & 65_535) * 0x9E37L, i & 63);
            return 1;
        });
        time("a hash map asked", i -> map.getOrDefault((i & 65_535) * 0x9E37L, 0));
        datagram.release();
    }

    private void time(String what, IntToLongFunction call) {
        int turns = 200_000;
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
}
