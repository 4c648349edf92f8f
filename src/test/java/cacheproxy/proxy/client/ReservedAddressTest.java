package cacheproxy.proxy.client;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import org.junit.jupiter.api.Test;

/** Tests that a reserved address refuses clients, and that a listening socket can bind it. */
class ReservedAddressTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static ServerSocket listen(InetSocketAddress address) throws IOException {
        ServerSocket socket = new ServerSocket();
        try {
            socket.setReuseAddress(true);
            socket.bind(address);
            return socket;
        } catch (IOException e) {
            socket.close();
            throw e;
        }
    }

    @Test
    void refusesClientsUntilTheAddressIsListenedAt() throws Exception {
        try (ReservedAddress reserved = ReservedAddress.bind(ANY_PORT);
                Socket refused = new Socket()) {
            assertThat(reserved.address().getPort()).isPositive();
            assertThatThrownBy(() -> refused.connect(reserved.address())).isInstanceOf(ConnectException.class);
            try (ServerSocket listening = listen(reserved.address());
                    Socket client = new Socket()) {
                client.connect(reserved.address());
                assertThat(client.getRemoteSocketAddress()).isEqualTo(listening.getLocalSocketAddress());
            }
        }
    }

    @Test
    void anAddressThatIsListenedAtCannotBeReserved() throws Exception {
        try (ServerSocket listening = listen(ANY_PORT)) {
            assertThatThrownBy(() -> ReservedAddress.bind(listening.getLocalSocketAddress()))
                    .isInstanceOf(IOException.class);
        }
    }

    @Test
    void closingTwiceIsHarmless() throws Exception {
        ReservedAddress reserved = ReservedAddress.bind(ANY_PORT);
        InetSocketAddress address = reserved.address();
        reserved.close();
        reserved.close();
        assertThat(reserved.address()).isEqualTo(address);
    }
}
