package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;

import cacheproxy.config.Addresses;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.fakes.FakeCacheServer;
import cacheproxy.fakes.FakeFleet;
import cacheproxy.fakes.FakeOrigin;
import cacheproxy.fakes.LoadClient;
import cacheproxy.fakes.LoadClient.LoadRequest;
import cacheproxy.fakes.LossyDatagramLink;
import cacheproxy.icp.IcpCodec;
import cacheproxy.icp.IcpMessage;
import cacheproxy.icp.IcpMessage.Opcode;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.Unpooled;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Proxies that have their own cache servers and origins, and query each other by ICP. */
@Timeout(120)
class SiblingCachesTest {
    private static final String CLASSES = DaemonHarness.CLASSES
            + "[[class]]\nname = \"sibling\"\neffect = \"safe\"\naim_ms = 5000\n" + "deadline_ms = 10000\n";
    private static final int MAX_ROUNDS = 50;

    private final List<AutoCloseable> open = new ArrayList<>();

    /** One proxy with its servers. Ports are chosen in advance, as each appears in the configurations of the others. */
    private final class Site {
        final FakeFleet fleet;
        final InetSocketAddress icp = udpPort();
        final InetSocketAddress fetch = tcpPort();
        final List<String> siblings = new ArrayList<>();
        Daemon daemon;

        Site() throws Exception {
            fleet = new FakeFleet(2);
            open.add(fleet);
        }

        void addSibling(String name, InetSocketAddress at, InetSocketAddress fetchAt) {
            siblings.add("[[sibling]]\nname = \"" + name + "\"\nicp = \"" + Addresses.text(at) + "\"\nfetch = \""
                    + Addresses.text(fetchAt) + "\"\nclass = \"sibling\"\n");
        }

        String file() {
            StringBuilder names = new StringBuilder();
            for (int i = 0; i < siblings.size(); i++) {
                names.append(i > 0 ? ", " : "")
                        .append('"')
                        .append(siblings.get(i).split("\"", 0)[1])
                        .append('"');
            }
            return DaemonHarness.LIMITS + CLASSES + DaemonHarness.MAIN_LISTENER
                    + "[[listen]]\nname = \"siblings\"\naddress = \""
                    + Addresses.text(fetch)
                    + "\"\n[icp]\naddress = \"" + Addresses.text(icp) + "\"\nlistener = \"siblings\"\n"
                    + String.join("", siblings)
                    + DaemonHarness.pool(
                            "a", fleet, "siblings = [" + names + "]", fleet.nodes.toArray(new FakeCacheServer[0]))
                    + DaemonHarness.pool("lookup", fleet, "", fleet.nodes.toArray(new FakeCacheServer[0]))
                            .replaceAll("\\[pool.origin]\nname.*\ndial.*\n", "")
                    + DaemonHarness.route("from-siblings", "listener = \"siblings\"", "lookup")
                    + DaemonHarness.route("all", "", "a");
        }

        Site start() throws Exception {
            daemon = Daemon.start(DaemonConfigReader.parse("rig", file()), 7);
            open.add(daemon);
            return this;
        }

        CompletableFuture<LoadClient.LoadResult> load(int total, int from) {
            return new LoadClient(
                            fleet.loop(),
                            daemon.address("main"),
                            total,
                            i -> new LoadRequest(
                                    "k/" + (from + i), "c=page", null, FakeOrigin.value("k/" + (from + i))))
                    .start(4, 2);
        }

        LoadClient.LoadResult sendRequests(int total, int from) throws Exception {
            LoadClient.LoadResult a = load(total, from).get(100, TimeUnit.SECONDS);
            assertThat(a.errors).isEmpty();
            assertThat(a.answered()).isEqualTo(total);
            return a;
        }
    }

    private static InetSocketAddress udpPort() throws Exception {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
    }

    private static InetSocketAddress tcpPort() throws Exception {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), Ports.free());
    }

    private LossyDatagramLink link(Site a, Site b, double lossRate, double duplicationRate, double delayMs)
            throws Exception {
        LossyDatagramLink link =
                new LossyDatagramLink(a.fleet.loop(), a.icp, b.icp, 5, lossRate, duplicationRate, delayMs);
        open.add(link);
        return link;
    }

    @AfterEach
    void closeAll() throws Exception {
        for (int i = open.size() - 1; i >= 0; i--) {
            open.get(i).close();
        }
    }

    @Test
    void fetchesRecentlyServedKeysFromSiblingInsteadOfOrigin() throws Exception {
        Site a = new Site();
        Site b = new Site();
        a.addSibling("b", b.icp, b.fetch);
        b.addSibling("a", a.icp, a.fetch);
        a.start();
        b.start();
        a.fleet.origin.setServiceTimeMs(20);
        b.sendRequests(200, 0); // b's origin fills b's servers
        b.sendRequests(200, 0); // now b's servers answer, so b knows which keys they have
        int before = b.fleet.origin.fetches();
        LoadClient.LoadResult account = a.sendRequests(200, 0);
        assertThat(account.failed).isZero();
        assertThat(account.served).isGreaterThan(100);
        assertThat(a.fleet.origin.fetches())
                .as("fetches of 200 keys; the others came from b")
                .isLessThan(100);
        assertThat(b.fleet.origin.fetches()).as("nothing was fetched for a").isEqualTo(before);
    }

    @Test
    void concludesEachRequestOnceDespiteLostDuplicatedAndLateReplies() throws Exception {
        Site a = new Site();
        Site b = new Site();
        LossyDatagramLink link = link(a, b, 0.5, 0.3, 5);
        a.addSibling("b", link.aliasAddressOfB(), b.fetch);
        b.addSibling("a", link.aliasAddressOfA(), a.fetch);
        a.start();
        b.start();
        a.fleet.origin.setServiceTimeMs(20);
        b.sendRequests(300, 0);
        b.sendRequests(300, 0);
        assertThat(a.sendRequests(300, 0).served + a.sendRequests(300, 300).served)
                .isPositive();
        assertThat(link.forwarded()).isPositive();
        assertThat(link.dropped()).isPositive();
        assertThat(a.fleet.ledger.repeatedEffects()).isZero();
    }

    @Test
    void fetchesMissingKeyOnceEachAmongThreeSiblings() throws Exception {
        Site[] sites = {new Site(), new Site(), new Site()};
        for (Site s : sites) {
            for (int i = 0; i < 3; i++) {
                if (sites[i] != s) {
                    s.addSibling("s" + i, sites[i].icp, sites[i].fetch);
                }
            }
        }
        List<CompletableFuture<LoadClient.LoadResult>> loads = new ArrayList<>();
        for (Site s : sites) {
            s.start();
            s.fleet.origin.setServiceTimeMs(
                    300); // so that all sites query the key before any has it, even on a busy machine
        }
        for (Site s : sites) {
            loads.add(new LoadClient(
                            s.fleet.loop(),
                            s.daemon.address("main"),
                            4,
                            i -> new LoadRequest("nobody", "c=page", null, FakeOrigin.value("nobody")))
                    .start(4, 1)); // fewer than make the key hot: a hot key is spread over servers
        }
        for (int i = 0; i < 3; i++) {
            LoadClient.LoadResult a = loads.get(i).get(60, TimeUnit.SECONDS);
            assertThat(a.errors).isEmpty();
            assertThat(a.served).isEqualTo(4);
            assertThat(sites[i].fleet.origin.fetches()).isEqualTo(1);
        }
    }

    @Test
    void losesTrustInSiblingWhoseServersWereEmptied() throws Exception {
        Site a = new Site();
        Site b = new Site();
        a.addSibling("b", b.icp, b.fetch);
        b.addSibling("a", a.icp, a.fetch);
        a.start();
        b.start();
        a.fleet.origin.setServiceTimeMs(5);
        b.sendRequests(200, 0);
        b.sendRequests(200, 0);
        for (FakeCacheServer n : b.fleet.nodes) { // b reports hits for keys that are gone, without knowing it
            for (int i = 0; i < 200; i++) {
                n.evict("k/" + i);
            }
        }
        LoadClient.LoadResult account = a.sendRequests(200, 0);
        assertThat(account.failed).isZero();
        assertThat(account.served + account.refused).isEqualTo(200);
        assertThat(account.served).isPositive();
    }

    /** A sibling's request must not reach a draining server, however recently that server has served the key. */
    @Test
    void answersNoHitForDrainingServer() throws Exception {
        Site a = new Site();
        Site b = new Site();
        a.addSibling("b", b.icp, b.fetch);
        b.addSibling("a", a.icp, a.fetch);
        a.start();
        b.start();
        b.sendRequests(200, 0);
        b.sendRequests(200, 0);
        FakeCacheServer draining = b.fleet.nodes.get(0);
        String dial = "dial = \"" + draining.dial() + "\"";
        b.daemon.load(DaemonConfigReader.parse("rig", b.file().replace(dial, dial + "\ndrain = true")));
        int before = draining.commands();
        a.sendRequests(200, 0);
        assertThat(draining.commands()).isEqualTo(before);
        assertThat(b.fleet.nodes.get(1).commands()).isPositive();
    }

    /**
     * A restarted server is cold and empty: its former keys must not be reported as hits, and siblings must not fill
     * it.
     */
    @Test
    void answersNoHitForRestartedServer() throws Exception {
        Site b = new Site();
        try (DatagramSocket sibling = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            b.addSibling("friend", (InetSocketAddress) sibling.getLocalSocketAddress(), tcpPort());
            b.start();
            b.sendRequests(50, 0);
            b.sendRequests(50, 0);
            int hits = 0;
            for (int i = 0; i < 50; i++) {
                hits += query(sibling, b, "http://coralbay/k/" + i).opcode() == Opcode.HIT ? 1 : 0;
            }
            assertThat(hits).isGreaterThan(40);
            for (FakeCacheServer n : b.fleet.nodes) {
                n.kill();
            }
            b.sendRequests(100, 100); // b detects that they are down
            for (FakeCacheServer n : b.fleet.nodes) {
                n.restart();
            }
            int served = 0;
            for (int round = 0; served == 0; round++) { // until b has used both again
                b.sendRequests(100, 1000 + 100 * round);
                served = Math.min(
                        b.fleet.nodes.get(0).commands(), b.fleet.nodes.get(1).commands());
            }
            for (int i = 0; i < 50; i++) {
                assertThat(query(sibling, b, "http://coralbay/k/" + i).opcode()).isNotEqualTo(Opcode.HIT);
            }
        }
    }

    /**
     * A sibling's response with the value of another key, or a truncated one, must not reach a client. The sibling is a
     * script.
     */
    @Test
    void survivesMalformedAnswersOfSibling() throws Exception {
        Site a = new Site();
        String[] answers = {
            "VA 5 Oother\r\nwrong\r\n",
            "VA 900 O%s\r\nshort",
            "VA x O%s\r\n",
            "\0\0\0\r\n",
            "EN O%s\r\n",
            "SERVER_ERROR busy 7\r\n",
            ""
        };
        ServerSocket fetches = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        DatagramSocket icp = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        open.add(fetches);
        open.add(icp);
        Thread icpResponder = new Thread(
                () -> { // replies with a hit to every query
                    byte[] buf = new byte[2000];
                    try {
                        while (true) {
                            DatagramPacket p = new DatagramPacket(buf, buf.length);
                            icp.receive(p);
                            IcpMessage q = IcpCodec.decode(Unpooled.wrappedBuffer(buf, 0, p.getLength()));
                            ByteBuf out = IcpCodec.encode(ByteBufAllocator.DEFAULT, q.reply(Opcode.HIT));
                            byte[] bytes = new byte[out.readableBytes()];
                            out.readBytes(bytes).release();
                            icp.send(new DatagramPacket(bytes, bytes.length, p.getSocketAddress()));
                        }
                    } catch (Exception e) {
                        // the test has ended
                    }
                });
        icpResponder.setDaemon(true);
        icpResponder.start();
        java.util.concurrent.atomic.AtomicInteger fetchCount = new java.util.concurrent.atomic.AtomicInteger();
        Thread fetchResponder = new Thread(() -> {
            try {
                while (true) {
                    java.net.Socket s = fetches.accept();
                    String line = new java.io.BufferedReader(
                                    new java.io.InputStreamReader(s.getInputStream(), StandardCharsets.UTF_8))
                            .readLine();
                    if (line != null) {
                        String id = line.substring(line.indexOf(" O") + 2).split(" ", 0)[0];
                        String answer = answers[fetchCount.getAndIncrement() % answers.length].replace("%s", id);
                        s.getOutputStream().write(answer.getBytes(StandardCharsets.ISO_8859_1));
                    }
                    s.close();
                }
            } catch (java.io.IOException e) {
                // the test has ended
            }
        });
        fetchResponder.setDaemon(true);
        fetchResponder.start();
        a.addSibling("liar", (InetSocketAddress) icp.getLocalSocketAddress(), (InetSocketAddress)
                fetches.getLocalSocketAddress());
        a.start();
        a.fleet.origin.setServiceTimeMs(20);
        LoadClient.LoadResult account = a.sendRequests(300, 0); // the load client checks each value
        assertThat(account.failed).isZero();
        assertThat(account.served).isPositive();
        assertThat(fetchCount.get()).as("fetches from the scripted sibling").isPositive();
    }

    @Test
    void servesFromSiblingsWhileOriginIsDown() throws Exception {
        Site a = new Site();
        Site b = new Site();
        a.addSibling("b", b.icp, b.fetch);
        b.addSibling("a", a.icp, a.fetch);
        a.start();
        b.start();
        b.sendRequests(200, 0);
        b.sendRequests(200, 0);
        a.fleet.origin.close();
        LoadClient.LoadResult account = a.sendRequests(200, 0);
        assertThat(account.served).isGreaterThan(100);
    }

    @Test
    void sendsAndAcceptsNoWritesBetweenSiblings() throws Exception {
        Site a = new Site();
        Site b = new Site();
        a.addSibling("b", b.icp, b.fetch);
        b.addSibling("a", a.icp, a.fetch);
        a.start();
        b.start();
        LoadClient.LoadResult writes = new LoadClient(
                        a.fleet.loop(),
                        a.daemon.address("main"),
                        100,
                        i -> new LoadRequest(
                                "k/" + i, i % 2 == 0 ? "c=submit" : "c=publish,k=p" + i, "mark-" + i, null))
                .start(4, 2)
                .get(60, TimeUnit.SECONDS);
        assertThat(writes.errors).isEmpty();
        assertThat(writes.served).isEqualTo(100);
        assertThat(a.fleet.ledger.repeatedEffects()).isZero();
        assertThat(b.fleet.nodes).allMatch(n -> n.commands() == 0);
        assertThat(b.fleet.origin.fetches()).isZero();
        try (DaemonHarness.ManualClient client = new DaemonHarness.ManualClient(b.daemon.address("siblings"))) {
            client.send("ms k/1 2 O1 Pc=sibling,d=5000\r\nab\r\n");
            assertThat(client.line()).startsWith("CLIENT_ERROR").contains("siblings do not write here");
            client.send("mg none v O2 Pc=sibling,d=5000\r\n");
            assertThat(client.line()).as("a miss, without a fetch").startsWith("EN");
        }
        assertThat(b.fleet.origin.fetches()).isZero();
    }

    /** Checks the replies to a configured sibling, to an unknown sender and to forged replies. */
    @Test
    void answersQueriesFromRecentResponsesAndIgnoresUnknownSenders() throws Exception {
        Site b = new Site();
        try (DatagramSocket sibling = new DatagramSocket(0, InetAddress.getLoopbackAddress());
                DatagramSocket unknownSender = new DatagramSocket(0, InetAddress.getLoopbackAddress())) {
            b.addSibling("friend", (InetSocketAddress) sibling.getLocalSocketAddress(), tcpPort());
            b.start();
            sibling.setSoTimeout(60_000);
            unknownSender.setSoTimeout(60_000);
            assertThat(query(sibling, b, "http://coralbay/k/1").opcode()).isEqualTo(Opcode.MISS);
            askUntilAllServed(b, 5); // the values of the origin are now cached
            askUntilAllServed(b, 5); // the cache servers have now served them
            for (int i = 0; i < 5; i++) {
                assertThat(query(sibling, b, "http://coralbay/k/" + i).opcode())
                        .as("k/" + i)
                        .isEqualTo(Opcode.HIT);
            }
            assertThat(query(sibling, b, "http://other/k/1").opcode()).isEqualTo(Opcode.ERR);
            assertThat(query(sibling, b, "http://coralbay/" + "k".repeat(300)).opcode())
                    .isEqualTo(Opcode.MISS);
            // A write invalidates what is known about a key.
            LoadClient.LoadResult writes = new LoadClient(
                            b.fleet.loop(),
                            b.daemon.address("main"),
                            1,
                            i -> new LoadRequest("k/1", "c=submit", "m", null))
                    .start(1, 1)
                    .get(60, TimeUnit.SECONDS);
            assertThat(writes.served).isEqualTo(1);
            assertThat(query(sibling, b, "http://coralbay/k/1").opcode()).isEqualTo(Opcode.MISS);
            assertThat(query(sibling, b, "http://coralbay/k/2").opcode()).isEqualTo(Opcode.HIT);
            assertThat(query(unknownSender, b, "http://coralbay/k/2").opcode()).isEqualTo(Opcode.DENIED);
            for (int i = 0; i < 300; i++) {
                send(unknownSender, b, IcpMessage.query(i, 0, "http://coralbay/k/2"));
                send(unknownSender, b, new IcpMessage(Opcode.HIT, i, 0, 0, 0, 0, "http://coralbay/k/2", null));
                unknownSender.send(new DatagramPacket(new byte[i % 40], i % 40, b.daemon.icpAddress()));
            }
            assertThat(query(sibling, b, "http://coralbay/k/2").opcode())
                    .as("the sibling is still served")
                    .isEqualTo(Opcode.HIT);
            // The last reply to the sibling was sent after all replies to the unknown sender, so these are in its
            // socket by now.
            unknownSender.setSoTimeout(1);
            int received = 0;
            try {
                for (byte[] buf = new byte[1000]; ; received++) {
                    unknownSender.receive(new DatagramPacket(buf, buf.length));
                }
            } catch (java.net.SocketTimeoutException e) {
                assertThat(received).isLessThan(150);
            }
        }
    }

    /** Requests the keys in rounds, as a proxy that has just started may reject some of its first requests. */
    private static void askUntilAllServed(Site site, int keys) throws Exception {
        for (int round = 0; round < MAX_ROUNDS; round++) {
            if (site.sendRequests(keys, 0).served == keys) {
                return;
            }
        }
        fail("not all of " + keys + " keys were served in any of " + MAX_ROUNDS + " rounds");
    }

    private static void send(DatagramSocket from, Site to, IcpMessage m) throws Exception {
        ByteBuf buf = IcpCodec.encode(ByteBufAllocator.DEFAULT, m);
        byte[] bytes = new byte[buf.readableBytes()];
        buf.readBytes(bytes).release();
        from.send(new DatagramPacket(bytes, bytes.length, to.daemon.icpAddress()));
    }

    private static IcpMessage query(DatagramSocket from, Site to, String url) throws Exception {
        int number = url.hashCode();
        byte[] buf = new byte[2000];
        DatagramPacket packet = new DatagramPacket(buf, buf.length);
        from.setSoTimeout(500);
        IcpMessage m = null;
        while (m == null || m.requestNumber() != number) {
            // Datagrams can be lost, even on loopback, after a flood has filled the socket. A repeated query is
            // answered twice.
            if (m == null) {
                send(from, to, IcpMessage.query(number, 0, url));
            }
            try {
                from.receive(packet);
                m = IcpCodec.decode(Unpooled.wrappedBuffer(buf, 0, packet.getLength()));
            } catch (java.net.SocketTimeoutException e) {
                m = null;
            }
            packet.setLength(buf.length);
        }
        int length = IcpCodec.encodedLength(m);
        assertThat(m.url()).isEqualTo(url);
        assertThat(length).as("no amplification").isLessThanOrEqualTo(24 + url.length() + 1);
        assertThat(new String(buf, 20, url.length(), StandardCharsets.US_ASCII)).isEqualTo(url);
        return m;
    }
}
