package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import cacheproxy.proxy.net.Transport;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Polls the control address of each proxy to find out whether the proxy holds a lease, as jobs that act under the lease
 * do. There is at most one call at a time for each proxy and lease. Used on one event loop, except for {@link #holder}.
 */
final class LeasePoller {
    private static final long CALL_TIMEOUT_MS = 60_000;
    private static final int CONNECT_TIMEOUT_MS = 2000;
    private static final String END_OF_HEADERS = "\r\n\r\n";

    private final EventLoop loop;
    private final AddressSpace space;
    private final History history;
    private final List<String> leases;
    private final FencedWriter writer;
    private final Map<String, String> holders = new ConcurrentHashMap<>();
    /** By proxy and lease: whether a call is in flight. */
    private final boolean[][] callInFlight;

    private Future<?> pollTask;

    private LeasePoller(EventLoop loop, AddressSpace space, History history, Scenario scenario) {
        this.loop = loop;
        this.space = space;
        this.history = history;
        leases = scenario.leases();
        writer = new FencedWriter(loop, history, scenario.proxies(), leases.size(), scenario.seed());
        callInFlight = new boolean[scenario.proxies()][leases.size()];
    }

    /** Starts to poll for the leases of a scenario. */
    static LeasePoller start(EventLoop loop, AddressSpace space, History history, Scenario scenario) {
        LeasePoller poller = new LeasePoller(loop, space, history, scenario);
        long periodMs = (long) scenario.pollMs();
        poller.pollTask = loop.scheduleAtFixedRate(poller::pollAll, periodMs, periodMs, TimeUnit.MILLISECONDS);
        return poller;
    }

    /** The proxy that last reported that it holds a lease; null if none has. Can be called from any thread. */
    String holder(String lease) {
        return holders.get(lease);
    }

    /** Stops polling; calls in flight are not cancelled. */
    void stop() {
        pollTask.cancel(false);
    }

    private void pollAll() {
        for (int proxy = 0; proxy < callInFlight.length; proxy++) {
            for (int leaseIndex = 0; leaseIndex < leases.size(); leaseIndex++) {
                if (!callInFlight[proxy][leaseIndex]) {
                    callInFlight[proxy][leaseIndex] = true;
                    poll(proxy, leaseIndex);
                }
            }
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void poll(int proxy, int leaseIndex) {
        ChannelFuture connect = new Bootstrap()
                .group(loop)
                .channel(Transport.BEST.socket())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new Call(proxy, leaseIndex));
                    }
                })
                .connect(space.proxyAddress(proxy, AddressSpace.CONTROL_PORT));
        connect.addListener(connected -> {
            if (!connected.isSuccess()) {
                callInFlight[proxy][leaseIndex] = false;
                return;
            }
            Channel channel = connect.channel();
            channel.closeFuture().addListener(closed -> callInFlight[proxy][leaseIndex] = false);
            loop.schedule(() -> channel.close(), CALL_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        });
    }

    /** One call, on its own connection. */
    private final class Call extends ChannelInboundHandlerAdapter {
        private final int proxy;
        private final int leaseIndex;
        private final String lease;
        private final StringBuilder response = new StringBuilder();
        private long sentUs;

        Call(int proxy, int leaseIndex) {
            this.proxy = proxy;
            this.leaseIndex = leaseIndex;
            lease = leases.get(leaseIndex);
        }

        @SuppressWarnings("FutureReturnValueIgnored") // a failed write closes the channel, and the close is handled
        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            sentUs = history.nowUs();
            ctx.writeAndFlush(
                    ByteBufUtil.writeAscii(ctx.alloc(), "GET /duties/" + lease + " HTTP/1.1\r\nHost: rig\r\n\r\n"));
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) {
            ByteBuf input = (ByteBuf) message;
            response.append(input.toString(StandardCharsets.ISO_8859_1));
            input.release();
            int headersEnd = response.indexOf(END_OF_HEADERS);
            if (headersEnd < 0) {
                return;
            }
            int bodyStart = headersEnd + END_OF_HEADERS.length();
            if (response.indexOf("\n", bodyStart) < 0) {
                return;
            }
            recordResult(response.substring(bodyStart).strip());
            ctx.close();
        }

        private void recordResult(String body) {
            boolean held = response.indexOf("HTTP/1.1 200") == 0;
            long epoch = held ? Long.parseLong(body) : 0;
            String name = TargetSelector.proxyName(proxy);
            history.add(
                    history.nowUs() - sentUs,
                    name,
                    Event.LEASE_POLLED,
                    lease,
                    held ? Event.HELD : Event.NOT_HELD,
                    (double) epoch);
            if (held) {
                holders.put(lease, name);
                writer.act(proxy, leaseIndex, lease, epoch);
            }
        }

        @SuppressWarnings("FutureReturnValueIgnored") // the close is observed where the channel becomes inactive
        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
