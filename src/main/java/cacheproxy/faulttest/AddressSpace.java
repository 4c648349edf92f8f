package cacheproxy.faulttest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * The addresses of one run in 127.0.0.0/8. Each process has its own address, uses the same ports as all others, and
 * keeps its address when it is restarted. Two runs on one machine use different second octets; a bound socket marks an
 * octet as in use.
 */
final class AddressSpace implements AutoCloseable {
    /** Port on which a proxy listens for clients. */
    static final int CLIENT_PORT = 11211;
    /** Port on which a proxy listens for datagrams of its peers. */
    static final int PEER_PORT = 7946;
    /** Port on which the relay listens for a proxy's connections to discovery. */
    static final int DISCOVERY_PORT = 8500;
    /** Port on which a proxy listens for control calls. */
    static final int CONTROL_PORT = 9000;
    /** Port on which the relay listens for connections to the first cache server; the ports of the others follow. */
    static final int FIRST_SERVER_PORT = 20_000;

    private static final int LOCK_PORT = 7900;
    private static final int HOSTS_PER_OCTET = 250;
    private static final int FIRST_SECOND_OCTET = 20;
    private static final int SECOND_OCTET_COUNT = 200;
    private static final int PROXY_THIRD_OCTET = 1;
    private static final int RELAY_THIRD_OCTET = 101;
    private static final int ZONE_RELAY_THIRD_OCTET = 201;
    private static final int BROADCAST_THIRD_OCTET = 250;

    private final int secondOctet;
    private final ServerSocket lock;

    private AddressSpace(int secondOctet, ServerSocket lock) {
        this.secondOctet = secondOctet;
        this.lock = lock;
    }

    /** Reserves addresses that no other run uses until this address space is closed. */
    static AddressSpace reserve() throws IOException {
        int first = (int) (ProcessHandle.current().pid() % SECOND_OCTET_COUNT);
        for (int i = 0; i < SECOND_OCTET_COUNT; i++) {
            int octet = FIRST_SECOND_OCTET + (first + i) % SECOND_OCTET_COUNT;
            ServerSocket socket = new ServerSocket();
            try {
                InetAddress lockHost = InetAddress.getByAddress(new byte[] {127, (byte) octet, (byte) 255, 1});
                socket.bind(new InetSocketAddress(lockHost, LOCK_PORT));
                return new AddressSpace(octet, socket);
            } catch (IOException e) {
                socket.close(); // another run uses it
            }
        }
        throw new IOException("no free address space in 127.20.0.0 to 127.219.0.0");
    }

    private String host(int thirdOctet, int index) {
        return "127." + secondOctet + "." + (thirdOctet + index / HOSTS_PER_OCTET) + "."
                + (1 + index % HOSTS_PER_OCTET);
    }

    /** The host address of the sockets on which a proxy listens. */
    String proxyHost(int proxy) {
        return host(PROXY_THIRD_OCTET, proxy);
    }

    /** The address of a socket on which a proxy listens. */
    InetSocketAddress proxyAddress(int proxy, int port) {
        return new InetSocketAddress(proxyHost(proxy), port);
    }

    /**
     * The address of the relay for one proxy. At the peer port it receives the datagrams that peers send to the proxy;
     * at other ports it accepts the connections of the proxy itself.
     */
    InetSocketAddress relayAddress(int proxy, int port) {
        return new InetSocketAddress(host(RELAY_THIRD_OCTET, proxy), port);
    }

    /** The address at which the relay accepts connections of all proxies of a zone. */
    InetSocketAddress zoneRelayAddress(int zone, int port) {
        return new InetSocketAddress(host(ZONE_RELAY_THIRD_OCTET, zone), port);
    }

    /** The relay address for datagrams to all proxies. */
    InetSocketAddress broadcastAddress() {
        return new InetSocketAddress(host(BROADCAST_THIRD_OCTET, 0), PEER_PORT);
    }

    /** An address in the form used in configuration files. */
    static String text(InetSocketAddress address) {
        return address.getHostString() + ":" + address.getPort();
    }

    @Override
    public void close() {
        try {
            lock.close();
        } catch (IOException e) {
            // Nothing depends on whether the close succeeds.
        }
    }
}
