package cacheproxy.soak;

import cacheproxy.fakes.FloodClient;
import cacheproxy.fakes.FloodKind;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;

/** Other clients that get in the way of those that are judged: floods and crowds of idle connections. */
final class ClientFaults {
    /** All kinds whose commands reach no server. */
    private static final FloodKind[] KINDS = {
        FloodKind.EMPTY_LINES,
        FloodKind.UNKNOWN_COMMANDS,
        FloodKind.UNSUPPORTED_COMMANDS,
        FloodKind.READS_WITHOUT_KEY,
        FloodKind.PINGS,
        FloodKind.REJECTED_READS,
        FloodKind.BINARY,
        FloodKind.ENDLESS_LINE,
        FloodKind.SEGMENTS,
        FloodKind.RECONNECTS
    };

    private static final int MAX_FLOODING_CONNECTIONS = 24;
    private static final int CROWD = 200;
    private static final int MIN_DURATION_MS = 500;
    private static final int MAX_DURATION_MS = 2500;

    private ClientFaults() {}

    /** Sends commands at full speed for some seconds. */
    static void flood(SoakProxy proxy, Random random) throws Exception {
        FloodKind kind = KINDS[random.nextInt(KINDS.length)];
        int connections = 1 + random.nextInt(MAX_FLOODING_CONNECTIONS);
        boolean reads = random.nextInt(4) > 0;
        try (FloodClient flood = FloodClient.start(address(proxy), kind, connections, reads, random.nextLong())) {
            pause(random);
        }
    }

    /** Opens many connections at once and sends nothing. */
    static void crowd(SoakProxy proxy, Random random) throws IOException {
        List<Socket> crowd = new ArrayList<>();
        try {
            for (int i = 0; i < CROWD; i++) {
                crowd.add(new Socket(InetAddress.getLoopbackAddress(), proxy.port));
            }
        } catch (IOException e) {
            // the proxy is not running, or has no room
        }
        pause(random);
        for (Socket socket : crowd) {
            socket.close();
        }
    }

    private static InetSocketAddress address(SoakProxy proxy) {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), proxy.port);
    }

    private static void pause(Random random) {
        int ms = MIN_DURATION_MS + random.nextInt(MAX_DURATION_MS - MIN_DURATION_MS);
        LockSupport.parkNanos(ms * 1_000_000L);
    }
}
