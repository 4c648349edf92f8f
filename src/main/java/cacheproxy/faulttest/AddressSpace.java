package cacheproxy.faulttest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;

/**
 * Addresses of one run in 127.0.0.0/8: each process has one of its own, with the same ports, and keeps it when it is
 * started again. Two runs on one machine take different second octets; a bound socket says that one is taken.
 */
final class AddressSpace implements AutoCloseable {
    static final int CLIENTS = 11211;
    static final int PEERS = 7946;
    static final int DISCOVERY = 8500;
    static final int CONTROL = 9000;
    /** Of the first node's faces; the others' follow. */
    static final int NODES = 20_000;

    private static final int LOCK = 7900;
    private static final int PER_OCTET = 250;
    /** Third octets: of the proxies, of what stands for them, of what stands for zones, of all at once. */
    private static final int OWN = 1;

    private static final int FACES = 101;
    private static final int ZONES = 201;
    private static final int ALL = 250;

    private final int octet;
    private final ServerSocket lock;

    private AddressSpace(int octet, ServerSocket lock) {
        this.octet = octet;
        this.lock = lock;
    }

    static AddressSpace take() throws IOException {
        int first = (int) (ProcessHandle.current().pid() % 200);
        for (int i = 0; i < 200; i++) {
            int octet = 20 + (first + i) % 200;
            ServerSocket socket = new ServerSocket();
            try {
                socket.bind(new InetSocketAddress(
                        InetAddress.getByAddress(new byte[] {127, (byte) octet, (byte) 255, 1}), LOCK));
                return new AddressSpace(octet, socket);
            } catch (IOException e) {
                socket.close(); // another run has it
            }
        }
        throw new IOException("no free address space in 127.20.0.0 to 127.219.0.0");
    }

    private String host(int third, int i) {
        return "127." + octet + "." + (third + i / PER_OCTET) + "." + (1 + i % PER_OCTET);
    }

    String proxy(int i) {
        return host(OWN, i);
    }

    InetSocketAddress proxy(int i, int port) {
        return new InetSocketAddress(proxy(i), port);
    }

    /**
     * What the other proxies, and the proxy itself, take for proxy i's surroundings: its name to peers, discovery,
     * nodes.
     */
    String face(int i) {
        return host(FACES, i);
    }

    InetSocketAddress face(int i, int port) {
        return new InetSocketAddress(face(i), port);
    }

    InetSocketAddress zoneFace(int zone, int port) {
        return new InetSocketAddress(host(ZONES, zone), port);
    }

    /** Where a datagram to all goes. */
    InetSocketAddress all() {
        return new InetSocketAddress(host(ALL, 0), PEERS);
    }

    static String text(InetSocketAddress a) {
        return a.getHostString() + ":" + a.getPort();
    }

    @Override
    public void close() {
        try {
            lock.close();
        } catch (IOException e) {
            // nothing waits for it
        }
    }
}
