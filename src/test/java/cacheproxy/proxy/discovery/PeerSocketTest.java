package cacheproxy.proxy.discovery;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.net.Transport;
import cacheproxy.proxy.process.PlatformConfig;
import com.google.gson.JsonArray;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the messages between proxies, as datagrams on the loopback interface. */
class PeerSocketTest {
    private static String text(DatagramSocket socket) {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    private static String receive(DatagramSocket socket) throws Exception {
        socket.setSoTimeout(20_000);
        DatagramPacket packet = new DatagramPacket(new byte[1000], 1000);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), UTF_8);
    }

    @Test
    void sendsToOneOrAllPeersAndReceivesOnlyFromPeers() throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        InetAddress local = InetAddress.getLoopbackAddress();
        try (DatagramSocket peer = new DatagramSocket(0, local);
                DatagramSocket all = new DatagramSocket(0, local);
                DatagramSocket stranger = new DatagramSocket(0, local)) {
            Fleet fleet = new Fleet();
            JsonArray peers = new JsonArray();
            peers.add("127.0.0.1:1");
            peers.add(text(peer));
            fleet.config.add("peers", peers);
            fleet.config.addProperty("peers_all", text(all));
            fleet.config.addProperty("peer_listen", "127.0.0.1:0");
            PlatformConfig config = PlatformConfig.parse(fleet.config);
            EventLoop loop = group.next();
            LinkedBlockingQueue<String> received = new LinkedBlockingQueue<>();
            PeerSocket socket = new PeerSocket(
                    loop, config.peerAddresses(), (from, message) -> received.add(from + new String(message, UTF_8)));
            socket.send(1, "to one".getBytes(UTF_8));
            assertThat(receive(peer)).isEqualTo("to one");
            socket.send(-1, "to all".getBytes(UTF_8));
            assertThat(receive(all)).isEqualTo("to all");
            socket.send(1, new byte[257]);
            socket.send(1, "after".getBytes(UTF_8));
            assertThat(receive(peer)).isEqualTo("after");
            stranger.send(new DatagramPacket("lie".getBytes(UTF_8), 3, socket.address()));
            peer.send(new DatagramPacket(new byte[300], 300, socket.address()));
            peer.send(new DatagramPacket("hi".getBytes(UTF_8), 2, socket.address()));
            assertThat(received.poll(20, TimeUnit.SECONDS)).isEqualTo("1hi");
        } finally {
            group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
        }
    }
}
