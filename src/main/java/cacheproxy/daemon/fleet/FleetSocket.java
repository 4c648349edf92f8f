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
 * are dropped. On the event loop only, but for {@link #bind}, {@link #isBound} and {@link #releaseAddress}.
 */
final class FleetSocket {
    /** Rejected datagrams from which operators are told; then at ten times as many, and so on. */
    private static final long FIRST_LOGGED_REJECTION = 100;

    private static final int LOG_FACTOR = 10;

    /** Takes authentic datagrams of peers. */
    @FunctionalInterface
    interface DatagramListener {
        /** A datagram has arrived. */
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

    /** @param startedMs the process's start, its incarnation for the peers */
    FleetSocket(EventLoopContext core, FleetConfig config, double startedMs, DatagramListener listener) {
        this.core = core;
        this.boundConfig = config;
        this.listener = listener;
        List<byte[]> keys = config.keys().stream()
                .map(key -> key.getBytes(StandardCharsets.UTF_8))
                .toList();
        envelope = new DatagramEnvelope(NameHash.of(config.self()), (long) startedMs, keys, List.of());
    }

    /** Binds the configured address; not on the event loop. */
    void bind(DaemonConfig file) throws ConfigException, InterruptedException {
        channel = SocketBinder.datagrams(
                core, file, "fleet", boundConfig.listen(), DatagramEnvelope.MAX_DATAGRAM_BYTES, new Handler());
    }

    /** Whether it has its address. */
    boolean isBound() {
        return channel.isOpen();
    }

    /** Gives up the address for another socket, until {@link #bind} is called again; not on the event loop. */
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

    /** The peers' names by id. */
    Map<Long, String> names() {
        return Collections.unmodifiableMap(names);
    }

    /** When a peer's last datagram arrived; negative infinity if none has. */
    double lastReceivedMs(long peer) {
        return lastReceivedMs.getOrDefault(peer, Double.NEGATIVE_INFINITY);
    }

    /** Sends a payload to a peer; ignored if the receiver is none. */
    @SuppressWarnings("FutureReturnValueIgnored") // a datagram that cannot be sent counts as lost
    void send(long to, byte topic, byte[] payload) {
        InetSocketAddress address = addresses.get(to);
        if (address != null && channel != null) {
            byte[] datagram = envelope.seal(to, topic, payload);
            channel.writeAndFlush(new DatagramPacket(Unpooled.wrappedBuffer(datagram), address), channel.voidPromise());
        }
    }

    /** Tells operators, once for each, of names under which two processes send. */
    void logDuplicateNames() {
        for (long id : envelope.duplicateIds()) {
            if (loggedDuplicates.add(id)) {
                core.log("fleet: two processes use the name " + names.get(id)
                        + "; datagrams of the older one are rejected; give each process its own name");
            }
        }
    }

    /** Closes it for good. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing depends on the close, and Netty logs its failure
    void close() {
        closed = true;
        channel.close();
    }

    /** Peers with another key receive no answer, and nothing else tells why. */
    private void reject(InetSocketAddress from) {
        rejections++;
        if (rejections == nextLoggedRejection) {
            nextLoggedRejection *= LOG_FACTOR;
            core.log("fleet: " + rejections + " datagrams dropped that were not from a peer, the last from "
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

        /** Without keys only the address speaks for a sender, so it is checked before anything is believed. */
        private boolean mayBeOpened(InetSocketAddress from, byte[] datagram) {
            return !boundConfig.keys().isEmpty()
                    || from.equals(addresses.get(DatagramEnvelope.claimedSender(datagram)));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            // A datagram that could not be received says nothing of the next.
        }
    }
}
