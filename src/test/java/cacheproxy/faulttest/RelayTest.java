package cacheproxy.faulttest;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Fault.Kind;
import cacheproxy.faulttest.scenario.Fault.LinkFault;
import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.proxy.net.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** The rig's links between sockets of its own. */
@Timeout(60)
class RelayTest {
    /** A test that waits in vain fails; JUnit's limit does not end a blocked read. */
    private static final int PATIENCE_MS = 20_000;

    private final TargetSelector names = new TargetSelector(3, 1, List.of("a"));
    private final NetworkLinks links = new NetworkLinks(names);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private AddressSpace space;

    @BeforeEach
    void take() throws IOException {
        space = AddressSpace.take();
    }

    @AfterEach
    void end() {
        space.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Fault fault(List<String> who, List<String> to, boolean twoWay, LinkFault figures) {
        return new Fault(Kind.LINK, 0, 1, who, to, twoWay, figures, 1, 0, false, 0);
    }

    private void on(Runnable change) {
        loop.submit(change).syncUninterruptibly();
    }

    private static DatagramPacket heard(DatagramSocket socket) throws IOException {
        socket.setSoTimeout(PATIENCE_MS);
        DatagramPacket p = new DatagramPacket(new byte[512], 512);
        socket.receive(p);
        return p;
    }

    private static String text(DatagramPacket p) {
        return new String(p.getData(), 0, p.getLength(), UTF_8);
    }

    private void say(DatagramSocket from, SocketAddress to, String text) throws IOException {
        from.send(new DatagramPacket(text.getBytes(UTF_8), text.length(), to));
    }

    @Test
    void proxiesKnowOneAnotherByTheirFacesAndHearWhatTheLinksLetThrough() throws Exception {
        try (DatagramRelay relay = new DatagramRelay(loop, space, 3, links, 1);
                DatagramSocket a = new DatagramSocket(space.proxy(0, AddressSpace.PEERS));
                DatagramSocket b = new DatagramSocket(space.proxy(1, AddressSpace.PEERS));
                DatagramSocket c = new DatagramSocket(space.proxy(2, AddressSpace.PEERS));
                DatagramSocket stranger =
                        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            say(a, space.face(1, AddressSpace.PEERS), "one");
            DatagramPacket p = heard(b);
            assertThat(text(p)).isEqualTo("one");
            assertThat(p.getSocketAddress()).isEqualTo(space.face(0, AddressSpace.PEERS));
            say(b, p.getSocketAddress(), "back");
            assertThat(text(heard(a))).isEqualTo("back");
            say(a, space.all(), "all");
            assertThat(text(heard(b))).isEqualTo("all");
            assertThat(text(heard(c))).isEqualTo("all");

            Fault oneWay = fault(List.of("p1"), List.of("p2"), false, LinkFault.CUT);
            on(() -> links.begin(oneWay));
            say(a, space.face(1, AddressSpace.PEERS), "cut");
            say(a, space.face(2, AddressSpace.PEERS), "past it");
            assertThat(text(heard(c))).isEqualTo("past it");
            assertThat(relay.lost()).isEqualTo(1);
            say(b, space.face(0, AddressSpace.PEERS), "the other way");
            assertThat(text(heard(a))).isEqualTo("the other way");
            on(() -> links.end(oneWay));
            say(a, space.face(1, AddressSpace.PEERS), "healed");
            assertThat(text(heard(b))).as("what was cut is lost").isEqualTo("healed");

            on(() -> links.begin(fault(List.of("p1"), List.of("p2"), true, new LinkFault(0, 10, 0, 1, 1, false))));
            say(a, space.face(1, AddressSpace.PEERS), "spoilt");
            assertThat(text(heard(b))).hasSize(6).isNotEqualTo("spoilt");
            assertThat(text(heard(b))).hasSize(6).isNotEqualTo("spoilt");

            say(stranger, space.face(2, AddressSpace.PEERS), "who?");
            say(a, space.face(2, AddressSpace.PEERS), "I");
            assertThat(text(heard(c))).isEqualTo("I");
            assertThat(relay.strangers()).isEqualTo(1);
            assertThat(relay.dropped()).isZero();
        }
    }

    @Test
    void whatIsLateOnPurposeIsBoundedAndTold() throws Exception {
        try (DatagramRelay relay = new DatagramRelay(loop, space, 3, links, 1);
                DatagramSocket a = new DatagramSocket(space.proxy(0, AddressSpace.PEERS))) {
            on(() -> links.begin(fault(List.of("p1"), List.of("p2"), true, new LinkFault(0, 60_000, 0, 0, 0, false))));
            while (relay.dropped() == 0) {
                for (int i = 0; i < 1000; i++) {
                    say(a, space.face(1, AddressSpace.PEERS), "x");
                }
            }
            assertThat(relay.passed()).isZero();
        }
    }

    @Test
    void aCutConnectionIsOpenAndSilentAndGoesOnOnceHealedAndAResetOneEnds() throws Exception {
        try (TcpRelay relay = new TcpRelay(loop, links);
                ScriptedServer server = new ScriptedServer(c -> {
                    for (String line; (line = c.line()) != null; ) {
                        c.say("heard " + line + "\n");
                    }
                })) {
            InetSocketAddress at = space.face(0, AddressSpace.NODES);
            relay.face(
                    at,
                    0,
                    names.proxies(),
                    () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
            try (Socket s = new Socket(at.getAddress(), at.getPort())) {
                s.setSoTimeout(PATIENCE_MS);
                s.getOutputStream().write("1\n".getBytes(UTF_8));
                assertThat(ScriptedServer.line(s.getInputStream())).isEqualTo("heard 1");
                Fault cut = fault(List.of("p1"), List.of("n1"), true, LinkFault.CUT);
                on(() -> {
                    links.begin(cut);
                    relay.changed();
                });
                s.getOutputStream().write("2\n".getBytes(UTF_8));
                s.setSoTimeout(100);
                assertThatThrownBy(() -> s.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
                s.setSoTimeout(PATIENCE_MS);
                on(() -> {
                    links.end(cut);
                    relay.changed();
                });
                assertThat(ScriptedServer.line(s.getInputStream())).isEqualTo("heard 2");
                on(() -> {
                    links.begin(fault(List.of("p1"), List.of("n1"), true, new LinkFault(0, 0, 0, 0, 0, true)));
                    relay.changed();
                });
                assertThatThrownBy(() -> {
                            if (s.getInputStream().read() < 0) {
                                throw new IOException("ended");
                            }
                        })
                        .isInstanceOf(IOException.class);
            }
        }
    }
}
