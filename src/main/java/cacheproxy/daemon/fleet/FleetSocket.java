package cacheproxy.daemon.fleet;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.config.PeerConfig;
import cacheproxy.daemon.SocketBinder;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.peer.DatagramEnvelope;
import cacheproxy.fleet.peer.OpenedDatagram;
import cacheproxy.proxy.upstream.EventLoopContext;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The datagram socket between the proxies of a fleet, with the addresses of the peers. Datagrams that are not authentic
 * are dropped. On the event loop only, except for {@link #bind}, {@link #isBound} and {@link #releaseAddress}.
 */
final class FleetSocket {
    /** Number of rejected datagrams that is logged first; after that each tenfold number is logged. */
    private static final long FIRST_LOGGED_REJECTION = 100;

    private static final int LOG_FACTOR = 10;

    /** Receives authentic datagrams of peers. */
    @FunctionalInterface
    interface DatagramListener {
        /** Called for each datagram that arrives. */
        void receive(double nowMs, OpenedDatagram datagram);
    }

    private final EventLoopContext core;
    private final FleetConfig boundConfig;
    private final DatagramListener listener;
    private final DatagramEnvelope envelope;
    private final Map<Long, InetSocketAddress> addresses = new HashMap<>();
    private final Map<Long, String> names = new HashMap<>();
    private final Map<Long, Double> lastReceivedMs = new HashMap<>();
    private final Set<Long> loggedDuplicates = new HashSet<>();
    private volatile Channel channel;
    private long rejections;
    private long nextLoggedRejection = FIRST_LOGGED_REJECTION;
    private boolean closed;

    /** @param startedMs the process's start time, which is its incarnation for the peers */
    FleetSocket(EventLoopContext core, FleetConfig config, double startedMs, DatagramListener listener) {
        this.core = core;
        this.boundConfig = config;
        this.listener = listener;
        List<byte[]> keys = config.keys().stream()
                .map(key -> key.getBytes(StandardCharsets.UTF_8))
                .toList();
        envelope = new DatagramEnvelope(NameHash.of(config.self()), (long) startedMs, keys, List.of());
    }

    /** Binds the configured address. Must not be called on the event loop. */
    void bind(DaemonConfig file) throws ConfigException, InterruptedException {
        channel = SocketBinder.datagrams(
                core, file, "fleet", boundConfig.listen(), DatagramEnvelope.MAX_DATAGRAM_BYTES, new Handler());
    }

    /** Returns whether the socket is bound to its address. */
    boolean isBound() {
        return channel.isOpen();
    }

    /**
     * Releases the address for another socket, until {@link #bind} is called again. Must not be called on the event
     * loop.
     */
    void releaseAddress() throws InterruptedException {
        channel.close().sync();
    }

    /** Replaces the peers. */
    void usePeers(List<PeerConfig> peers) {
        addresses.clear();
        names.clear();
        for (PeerConfig peer : peers) {
            long id = NameHash.of(peer.name());
            addresses.put(id, peer.address());
            names.put(id, peer.name());
        }
        envelope.setSenders(List.copyOf(names.keySet()));
        lastReceivedMs.keySet().retainAll(names.keySet());
    }

    /** Returns the peers' names by id. */
    Map<Long, String> names() {
        return Collections.unmodifiableMap(names);
    }

    /** Returns when a peer's last datagram arrived; negative infinity if none has arrived. */
    double lastReceivedMs(long peer) {
        return lastReceivedMs.getOrDefault(peer, Double.NEGATIVE_INFINITY);
    }

    /** Sends a payload to a peer; does nothing if the receiver is not a configured peer. */
    @SuppressWarnings("FutureReturnValueIgnored") // a datagram that cannot be sent counts as lost
    void send(long to, byte topic, byte[] payload) {
        InetSocketAddress address = addresses.get(to);
        if (address != null && channel != null) {
            byte[] datagram = envelope.seal(to, topic, payload);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address), channel.voidPromise());
        }
    }

    /** Logs, once for each name, that two processes send under the same name. */
    void logDuplicateNames() {
        for (long id : envelope.duplicateIds()) {
            if (loggedDuplicates.add(id)) {
                core.log("fleet: two processes send under the name " + names.get(id)
                        + "; datagrams of the older one are rejected; give each process its own name");
            }
        }
    }

    /** Closes the socket permanently. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing depends on the close, and Netty logs its failure
    void close() {
        closed = true;
        channel.close();
    }

    /**
     * Counts and logs rejected datagrams. Peers with a different key receive no reply, and nothing else shows the
     * reason.
     */
    private void reject(InetSocketAddress from) {
        rejections++;
        if (rejections == nextLoggedRejection) {
            nextLoggedRejection *= LOG_FACTOR;
            core.log("fleet: " + rejections + " datagrams dropped that are no peer's, the last from "
                    + Addresses.text(from) + "; check that keys and addresses are the same on all proxies");
        }
    }

    private final class Handler extends SimpleChannelInboundHandler<DatagramPacket> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            if (closed) {
                return;
            }
            byte[] datagram = ByteBufUtil.getBytes(packet.content());
            double nowMs = core.nowMs();
            OpenedDatagram opened = mayBeOpened(packet.sender(), datagram) ? envelope.open(datagram, nowMs) : null;
            if (opened == null) {
                reject(packet.sender());
                return;
            }
            lastReceivedMs.put(opened.sender(), nowMs);
            listener.receive(nowMs, opened);
        }

        /**
         * Returns whether the envelope of a datagram may be opened. Without keys the address is the only evidence of a
         * sender, so it is checked before anything in the datagram is used.
         */
        private boolean mayBeOpened(InetSocketAddress from, byte[] datagram) {
            return !boundConfig.keys().isEmpty()
                    || from.equals(addresses.get(DatagramEnvelope.claimedSender(datagram)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // The failure to receive one datagram does not affect others.
        }
    }
}
