package cacheproxy.proxy.process;

import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.discovery.DiscoverySource;
import cacheproxy.proxy.discovery.PeerAddresses;
import cacheproxy.proxy.upstream.EventLoopLimits;
import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The configuration of the platform's proxy process, from the JSON file that the environment names.
 *
 * @param name the proxy's name
 * @param listen the address for clients
 * @param discovery the address of the discovery service
 * @param seed the seed of the policy's random choices
 * @param cores the number of CPU cores that the process may use
 * @param memoryMb the memory that the process may use, in MiB
 * @param maxSockets the file descriptors that the process may use
 * @param peerListen the address for messages of other proxies; null if there is none
 * @param peers the addresses of the proxies, indexed by their numbers
 * @param allPeersAddress the address that reaches all proxies; null if there is none
 * @param control the address for operators; null if there is none
 * @param eventLog whether the event log is enabled; null leaves it unchanged
 * @param initialHosts the initial endpoint list, in the format of discovery; null if there is none
 * @param settings the policy's settings
 * @param zones the names of zones; servers refer to a zone by its name, settings by its index
 * @param kinds the names of server kinds; servers refer to a kind by its name, settings by its index
 * @param serverIdleTimeoutMs the time after which servers close idle connections, in milliseconds
 * @param streamsPerConnection the maximum number of attempts that share a connection to a cache server, at least 1
 */
public record PlatformConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        double cores,
        int memoryMb,
        int maxSockets,
        InetSocketAddress peerListen,
        List<InetSocketAddress> peers,
        InetSocketAddress allPeersAddress,
        InetSocketAddress control,
        Boolean eventLog,
        JsonObject initialHosts,
        PolicySettings settings,
        List<String> zones,
        List<String> kinds,
        double serverIdleTimeoutMs,
        int streamsPerConnection) {

    /**
     * The maximum memory for values. Buffers are limited by the platform's command line; this limit leaves memory for
     * data that is being read and written.
     */
    private static final long MAX_VALUE_BYTES = 10 << 20;
    /** A third of the sockets is for servers. */
    private static final int SERVER_SOCKETS_DIVISOR = 3;
    /** An eighth of the memory is for clients' values. */
    private static final int VALUE_MEMORY_DIVISOR = 8;
    /**
     * File descriptors of the JVM and its files, the listening socket, discovery and peers: 41 in a running process,
     * and a few as a reserve.
     */
    private static final int PROCESS_DESCRIPTORS = 48;

    private static final int MIN_CLIENT_CONNECTIONS = 16;

    /** The source of the endpoint list of the process's one pool. */
    DiscoverySource discoverySource() {
        return new DiscoverySource(discovery, initialHosts, settings.pollsDiscovery(), zones, kinds);
    }

    /**
     * The addresses for messages between proxies; the proxy has no address of its own if the policy sends no messages.
     */
    public PeerAddresses peerAddresses() {
        InetSocketAddress ownAddress = settings.peerMessagesAllowed() ? peerListen : null;
        return new PeerAddresses(ownAddress, control != null, peers, allPeersAddress);
    }

    /**
     * Reads the file.
     *
     * @throws IllegalArgumentException if the file can't be read or is invalid; the message names the file and is one
     *     line long
     */
    static PlatformConfig read(String path) {
        if (path == null || path.isEmpty()) {
            throw new IllegalArgumentException("BALANCER_CONFIG names no file");
        }
        try {
            return parse(JsonParser.parseString(Files.readString(Path.of(path))).getAsJsonObject());
        } catch (Exception e) {
            String message = String.valueOf(e.getMessage()).lines().findFirst().orElse("");
            String type =
                    e instanceof IllegalArgumentException ? "" : e.getClass().getSimpleName() + " ";
            throw new IllegalArgumentException("configuration " + path + ": " + type + message, e);
        }
    }

    /**
     * Parses a configuration.
     *
     * @throws RuntimeException if a value is missing or invalid
     */
    public static PlatformConfig parse(JsonObject json) {
        return PlatformConfigParser.parse(json);
    }

    /** The limits of the process's one event loop. */
    EventLoopLimits eventLoopLimits() {
        long valueBytes = Math.min(((long) memoryMb << 20) / VALUE_MEMORY_DIVISOR, MAX_VALUE_BYTES);
        return new EventLoopLimits(valueBytes, serverSockets(), false);
    }

    /** The maximum number of open client connections: the sockets that nothing else needs. */
    int maxClientConnections() {
        int operatorDescriptors = control == null ? 0 : OperatorActions.MAX_DESCRIPTORS;
        return Math.max(
                MIN_CLIENT_CONNECTIONS, maxSockets - serverSockets() - PROCESS_DESCRIPTORS - operatorDescriptors);
    }

    private int serverSockets() {
        return maxSockets / SERVER_SOCKETS_DIVISOR;
    }

    /**
     * Returns a copy for the training of the class archive: everything that a platform can configure is enabled, at
     * ports that the system chooses. The port for clients is chosen here because the path of the handover contains it,
     * and a concurrent build must not use the same path.
     */
    PlatformConfig forTraining() throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(listen.getAddress(), 0);
        InetSocketAddress chosenPort;
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(anyPort);
            chosenPort = (InetSocketAddress) socket.getLocalSocketAddress();
        }
        return new PlatformConfig(
                name,
                chosenPort,
                discovery,
                seed,
                cores,
                memoryMb,
                maxSockets,
                anyPort,
                peers,
                allPeersAddress,
                anyPort,
                eventLog,
                initialHosts,
                settings,
                zones,
                kinds,
                serverIdleTimeoutMs,
                streamsPerConnection);
    }
}
