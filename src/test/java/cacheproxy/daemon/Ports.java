package cacheproxy.daemon;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Ports of 127.0.0.1 for sockets whose port must be known before they are bound. They are below the range of ephemeral
 * ports: the system could give a released ephemeral port to another connection before it is bound again.
 */
public final class Ports {
    private static final int FIRST = 12_000;
    private static final int COUNT = 20_000;
    private static final AtomicInteger NEXT =
            new AtomicInteger((int) (ProcessHandle.current().pid() * 97 % COUNT));

    private Ports() {}

    /** Returns a port that is free for TCP and UDP and that this process has not used before. */
    public static int free() throws IOException {
        for (int tries = 0; tries < COUNT; tries++) {
            int port = FIRST + Math.floorMod(NEXT.getAndIncrement(), COUNT);
            try (ServerSocket serverSocket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress());
                    DatagramSocket datagramSocket = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                // the port is in use
            }
        }
        throw new IOException("no free port");
    }
}
