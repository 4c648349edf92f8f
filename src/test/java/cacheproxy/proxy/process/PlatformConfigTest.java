package cacheproxy.proxy.process;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.proxy.Fleet;
import cacheproxy.proxy.discovery.PeerAddresses;
import com.google.gson.JsonArray;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the peer addresses that the process takes from its configuration. */
class PlatformConfigTest {
    private static final InetSocketAddress LISTEN = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7001);
    private static final InetSocketAddress PEER = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7002);
    private static final InetSocketAddress ALL = new InetSocketAddress(InetAddress.getLoopbackAddress(), 7003);

    private final Fleet fleet = new Fleet();

    @BeforeEach
    void configurePeers() {
        JsonArray peers = new JsonArray();
        peers.add("127.0.0.1:7002");
        fleet.config.add("peers", peers);
        fleet.config.addProperty("peer_listen", "127.0.0.1:7001");
        fleet.config.addProperty("peers_all", "127.0.0.1:7003");
    }

    private PeerAddresses peerAddresses() {
        return PlatformConfig.parse(fleet.config).peerAddresses();
    }

    @Test
    void peersHaveTheAddressesOfTheFile() {
        PeerAddresses addresses = peerAddresses();
        assertThat(addresses.listen()).isEqualTo(LISTEN);
        assertThat(addresses.peers()).containsExactly(PEER);
        assertThat(addresses.all()).isEqualTo(ALL);
        assertThat(addresses.shared())
                .as("without a control address there is no next version")
                .isFalse();
    }

    @Test
    void theAddressIsSharedWithTheNextVersionIfThereIsAControlAddress() {
        fleet.config.addProperty("control", "127.0.0.1:0");
        assertThat(peerAddresses().shared()).isTrue();
    }

    @Test
    void withoutAnAddressToListenAtThereIsNone() {
        fleet.config.remove("peer_listen");
        assertThat(peerAddresses().listen()).isNull();
    }

    @Test
    void withoutThePolicysMessagesThereIsNoAddressToListenAt() {
        fleet.set("caps.peers", "false");
        assertThat(peerAddresses().listen()).isNull();
        assertThat(peerAddresses().peers()).containsExactly(PEER);
    }
}
