package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/** The clients' connections to one proxy. Used on the workload's event loop. */
final class ProxyClient {
    private static final int MAX_CONNECTIONS = 64;
    private static final int CONNECT_TIMEOUT_MS = 1000;

    private final OpenLoopWorkload workload;
    private final int proxy;
    private final InetSocketAddress address;
    private final ArrayDeque<ProxyConnection> idle = new ArrayDeque<>();
    private final List<Channel> channels = new ArrayList<>();
    /** Number of connections for requests, including those being established. */
    private int connections;
    /** The connection for pings (no-op commands); null if there is none. */
    private ProxyConnection pingConnection;

    ProxyClient(OpenLoopWorkload workload, int proxy, InetSocketAddress address) {
        this.workload = workload;
        this.proxy = proxy;
        this.address = address;
    }

    /** The proxy's name in the history. */
    String proxyName() {
        return TargetSelector.proxyName(proxy);
    }

    /** Sends a request on an idle connection or a new one. */
    void send(WorkloadRequest request) {
        for (ProxyConnection connection; (connection = idle.poll()) != null; ) {
            if (connection.isActive()) {
                connection.send(request);
                return;
            }
        }
        if (connections >= MAX_CONNECTIONS) {
            workload.countRejectedByConnectionLimit();
            return;
        }
        connections++;
        workload.countPending();
        ProxyConnection connection = new ProxyConnection(workload, this);
        connect(connection, connected -> {
            workload.countConcluded();
            if (connected) {
                connection.send(request);
            } else {
                connections--;
                workload.countFailedConnect();
            }
        });
    }

    private void connect(ProxyConnection connection, Consumer<Boolean> listener) {
        ChannelFuture connect = new Bootstrap()
                .group(workload.loop())
                .channel(Transport.BEST.socket())
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(connection);
                    }
                })
                .connect(address);
        connect.addListener(connected -> {
            if (connected.isSuccess()) {
                channels.add(connect.channel());
                connect.channel().closeFuture().addListener(closed -> channels.remove(connect.channel()));
            }
            listener.accept(connected.isSuccess());
        });
    }

    /** Sends a ping, unless the previous one has no response yet. */
    void ping() {
        if (pingConnection == null) {
            ProxyConnection connection = new ProxyConnection(workload, this);
            pingConnection = connection;
            connect(connection, connected -> pingConnection = connected ? connection : null);
        } else {
            pingConnection.ping();
        }
    }

    /** Makes a connection idle again after its request got the response. */
    void connectionReleased(ProxyConnection connection) {
        idle.push(connection);
    }

    /** Removes a connection that was closed; {@code interrupted} is the request that was in flight on it, or null. */
    void connectionClosed(ProxyConnection connection, WorkloadRequest interrupted) {
        connections--;
        idle.remove(connection);
        if (interrupted != null) {
            workload.retry(interrupted, proxy);
        }
    }

    /** Clears the ping connection if it is this one; returns whether it was. */
    boolean pingConnectionClosed(ProxyConnection connection) {
        if (pingConnection != connection) {
            return false;
        }
        pingConnection = null;
        return true;
    }

    /** Closes all connections. */
    @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
    void close() {
        List.copyOf(channels).forEach(Channel::close);
    }
}
