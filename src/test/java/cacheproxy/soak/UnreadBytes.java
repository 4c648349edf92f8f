package cacheproxy.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;

/** What the system holds of a client's bytes that the proxy has not read, by the system's own table of connections. */
final class UnreadBytes {
    private static final String ESTABLISHED = "01";
    private static final int LOCAL = 1;
    private static final int REMOTE = 2;
    private static final int STATE = 3;
    private static final int QUEUES = 4;
    private static final int HEXADECIMAL = 16;

    /** The two queues of each connection that is established on both sides, by the ports of its ends. */
    private final Map<Long, long[]> queues = new HashMap<>();

    /** Takes a look at all connections. */
    static UnreadBytes look() throws IOException {
        UnreadBytes look = new UnreadBytes();
        for (String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
            if (Files.exists(Path.of(file))) {
                Files.readAllLines(Path.of(file)).forEach(look::add);
            }
        }
        return look;
    }

    private void add(String line) {
        String[] words = line.trim().split("\\s+", 0);
        if (words.length > QUEUES && words[STATE].equals(ESTABLISHED)) {
            String[] sizes = words[QUEUES].split(":", 0);
            queues.put(
                    ends(port(words[LOCAL]), port(words[REMOTE])),
                    new long[] {Long.parseLong(sizes[0], HEXADECIMAL), Long.parseLong(sizes[1], HEXADECIMAL)});
        }
    }

    private static int port(String address) {
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1), HEXADECIMAL);
    }

    private static long ends(int local, int remote) {
        return (long) local << Integer.SIZE | remote;
    }

    /**
     * Returns the bytes in the send queue of the client's socket and in the receive queue of the proxy's; negative if
     * an end of the connection has come.
     */
    long of(int clientPort, int proxyPort) {
        long[] client = queues.get(ends(clientPort, proxyPort));
        long[] proxy = queues.get(ends(proxyPort, clientPort));
        return client == null || proxy == null ? -1 : client[0] + proxy[1];
    }
}
