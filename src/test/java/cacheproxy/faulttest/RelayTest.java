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

/** The relays of datagrams and connections over faulty links. */
@Timeout(60)
class RelayTest {
    /** Makes a read without data fail, as JUnit's time limit does not end a blocked read. */
    private static final int READ_TIMEOUT_MS = 20_000;

    private final TargetSelector endpoints = new TargetSelector(3, 1, List.of("a"));
    private final NetworkLinks links = new NetworkLinks(endpoints);
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    private final EventLoop loop = group.next();
    private AddressSpace space;

    @BeforeEach
    void reserveAddresses() throws IOException {
        space = AddressSpace.reserve();
    }

    @AfterEach
    void close() {
        space.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private Fault fault(List<String> targets, List<String> linkPeers, boolean twoWay, LinkFault linkFault) {
        return new Fault(Kind.LINK, 0, 1, targets, linkPeers, twoWay, linkFault, 1, 0, false, 0);
    }

    private void runOnLoop(Runnable change) {
        loop.submit(change).syncUninterruptibly();
    }

    private static DatagramPacket receive(DatagramSocket socket) throws IOException {
        socket.setSoTimeout(READ_TIMEOUT_MS);
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        return packet;
    }

    private static String text(DatagramPacket packet) {
        return new String(packet.getData(), 0, packet.getLength(), UTF_8);
    }

    private void send(DatagramSocket from, SocketAddress to, String text) throws IOException {
        from.send(new DatagramPacket(text.getBytes(UTF_8), text.length(), to));
    }

    @Test
    void relaysDatagramsBetweenConfiguredAddressesAsLinksAllow() throws Exception {
        try (DatagramRelay relay = new DatagramRelay(loop, space, 3, links, 1);
                DatagramSocket first = new DatagramSocket(space.proxyAddress(0, AddressSpace.PEER_PORT));
                DatagramSocket second = new DatagramSocket(space.proxyAddress(1, AddressSpace.PEER_PORT));
                DatagramSocket third = new DatagramSocket(space.proxyAddress(2, AddressSpace.PEER_PORT));
                DatagramSocket unknownSender =
                        new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            send(first, space.relayAddress(1, AddressSpace.PEER_PORT), "one");
            DatagramPacket packet = receive(second);
            assertThat(text(packet)).isEqualTo("one");
            assertThat(packet.getSocketAddress()).isEqualTo(space.relayAddress(0, AddressSpace.PEER_PORT));
            send(second, packet.getSocketAddress(), "back");
            assertThat(text(receive(first))).isEqualTo("back");
            send(first, space.broadcastAddress(), "all");
            assertThat(text(receive(second))).isEqualTo("all");
            assertThat(text(receive(third))).isEqualTo("all");

            Fault oneWay = fault(List.of("p1"), List.of("p2"), false, LinkFault.CUT);
            runOnLoop(() -> links.begin(oneWay));
            send(first, space.relayAddress(1, AddressSpace.PEER_PORT), "cut");
            send(first, space.relayAddress(2, AddressSpace.PEER_PORT), "past it");
            assertThat(text(receive(third))).isEqualTo("past it");
            assertThat(relay.lost()).isEqualTo(1);
            send(second, space.relayAddress(0, AddressSpace.PEER_PORT), "the other way");
            assertThat(text(receive(first))).isEqualTo("the other way");
            runOnLoop(() -> links.end(oneWay));
            send(first, space.relayAddress(1, AddressSpace.PEER_PORT), "healed");
            assertThat(text(receive(second)))
                    .as("the datagram sent during the cut is lost")
                    .isEqualTo("healed");

            runOnLoop(
                    () -> links.begin(fault(List.of("p1"), List.of("p2"), true, new LinkFault(0, 10, 0, 1, 1, false))));
            send(first, space.relayAddress(1, AddressSpace.PEER_PORT), "spoilt");
            assertThat(text(receive(second))).hasSize(6).isNotEqualTo("spoilt");
            assertThat(text(receive(second))).hasSize(6).isNotEqualTo("spoilt");

            send(unknownSender, space.relayAddress(2, AddressSpace.PEER_PORT), "who?");
            send(first, space.relayAddress(2, AddressSpace.PEER_PORT), "I");
            assertThat(text(receive(third))).isEqualTo("I");
            assertThat(relay.fromUnknownSenders()).isEqualTo(1);
            assertThat(relay.dropped()).isZero();
        }
    }

    @Test
    void boundsAndCountsDelayedDatagrams() throws Exception {
        try (DatagramRelay relay = new DatagramRelay(loop, space, 3, links, 1);
                DatagramSocket first = new DatagramSocket(space.proxyAddress(0, AddressSpace.PEER_PORT))) {
            runOnLoop(() ->
                    links.begin(fault(List.of("p1"), List.of("p2"), true, new LinkFault(0, 60_000, 0, 0, 0, false))));
            while (relay.dropped() == 0) {
                for (int i = 0; i < 1000; i++) {
                    send(first, space.relayAddress(1, AddressSpace.PEER_PORT), "x");
                }
            }
            assertThat(relay.forwarded()).isZero();
        }
    }

    @Test
    void holdsCutConnectionOpenUntilFaultEndsAndResetsConnection() throws Exception {
        try (TcpRelay relay = new TcpRelay(loop, links);
                ScriptedServer server = new ScriptedServer(connection -> {
                    for (String line; (line = connection.readLine()) != null; ) {
                        connection.send("heard " + line + "\n");
                    }
                })) {
            InetSocketAddress relayAddress = space.relayAddress(0, AddressSpace.FIRST_SERVER_PORT);
            relay.listen(
                    relayAddress,
                    0,
                    endpoints.proxies(),
                    () -> new InetSocketAddress(InetAddress.getLoopbackAddress(), server.port()));
            try (Socket socket = new Socket(relayAddress.getAddress(), relayAddress.getPort())) {
                socket.setSoTimeout(READ_TIMEOUT_MS);
                socket.getOutputStream().write("1\n".getBytes(UTF_8));
                assertThat(ScriptedServer.readLine(socket.getInputStream())).isEqualTo("heard 1");
                Fault cut = fault(List.of("p1"), List.of("n1"), true, LinkFault.CUT);
                runOnLoop(() -> {
                    links.begin(cut);
                    relay.linksChanged();
                });
                socket.getOutputStream().write("2\n".getBytes(UTF_8));
                socket.setSoTimeout(100);
                assertThatThrownBy(() -> socket.getInputStream().read()).isInstanceOf(SocketTimeoutException.class);
                socket.setSoTimeout(READ_TIMEOUT_MS);
                runOnLoop(() -> {
                    links.end(cut);
                    relay.linksChanged();
                });
                assertThat(ScriptedServer.readLine(socket.getInputStream())).isEqualTo("heard 2");
                runOnLoop(() -> {
                    links.begin(fault(List.of("p1"), List.of("n1"), true, new LinkFault(0, 0, 0, 0, 0, true)));
                    relay.linksChanged();
                });
                assertThatThrownBy(() -> {
                            if (socket.getInputStream().read() < 0) {
                                throw new IOException("ended");
                            }
                        })
                        .isInstanceOf(IOException.class);
            }
        }
    }
}
