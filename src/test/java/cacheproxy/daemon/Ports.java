package cacheproxy.daemon;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports of 127.0.0.1 for what must know its port before it binds. Below those that the system gives to others'
 * connections: one of these, once let go, may be taken before it is bound again.
 */
public final class Ports {
    private static final int FIRST = 12_000;
    private static final int COUNT = 20_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private Ports() {}

    /** One that is free for TCP and UDP, and that this process asks for once. */
    public static int free() throws IOException {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket serverSocket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket datagramSocket = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                // somebody has it
            }
        }
        throw new IOException("no free port");
    }
}
