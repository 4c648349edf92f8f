package cacheproxy.handover;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.epoll.EpollIoHandler;
import io.netty.channel.epoll.EpollServerSocketChannel;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardProtocolFamily;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Offers a socket on one event loop and receives it on another, as two processes do. */
@Timeout(60)
class HandoverTest {
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, EpollIoHandler.newFactory());
    private final EventLoop first = group.next();
    private final EventLoop second = group.next();

    @TempDir
    private Path folder;

    @AfterEach
    void end() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }

    private static ServerBootstrap counting(EventLoop loop, AtomicInteger accepted) {
        return new ServerBootstrap().group(loop).childHandler(new CountingGreeter(accepted));
    }

    @io.netty.channel.ChannelHandler.Sharable
    private static final class CountingGreeter extends ChannelInboundHandlerAdapter {
        private final AtomicInteger accepted;

        CountingGreeter(AtomicInteger accepted) {
            this.accepted = accepted;
        }

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write fails the test at the client
        public void channelActive(ChannelHandlerContext ctx) {
            accepted.incrementAndGet();
            ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte('x'));
        }
    }

    @Test
    @SuppressWarnings("FutureReturnValueIgnored") // the test waits for the listener's close future
    void successorAcceptsConnectionsQueuedWhilePredecessorStops() throws Exception {
        AtomicInteger byFirst = new AtomicInteger();
        AtomicInteger bySecond = new AtomicInteger();
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, byFirst)
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        int port = listening.localAddress().getPort();
        Path path = HandoverPath.of(folder, port);
        Handover offer = Handover.offer(first, path, listening.fd().intValue(), null);
        assertThat(first.submit(offer::hasSuccessor).get()).isFalse();
        Optional<InheritedSocket> inheritedSocket = HandoverReceiver.receive(second, path, 30_000);
        assertThat(inheritedSocket).isPresent();
        InheritedSocket inherited = inheritedSocket.orElseThrow();
        assertThat(first.submit(offer::hasSuccessor).get()).isTrue();
        // The first stops before the second accepts; connections made in between wait in the shared queue.
        first.submit(() -> listening.deregister().addListener(future -> listening.close()))
                .get();
        listening.closeFuture().sync();
        try (Socket firstClient = new Socket(InetAddress.getLoopbackAddress(), port);
                Socket secondClient = new Socket(InetAddress.getLoopbackAddress(), port)) {
            Channel adopted = counting(second, bySecond)
                    .channelFactory(() -> new EpollServerSocketChannel(inherited.descriptor()))
                    .register()
                    .sync()
                    .channel();
            assertThat(((InetSocketAddress) adopted.localAddress()).getPort()).isEqualTo(port);
            assertThat(firstClient.getInputStream().read()).isEqualTo('x');
            assertThat(secondClient.getInputStream().read()).isEqualTo('x');
            assertThat(byFirst).hasValue(0);
            assertThat(bySecond).hasValue(2);
            // The second offers the socket at the same path; closing the first offer must not remove the new offer.
            Handover next = Handover.offer(second, path, inherited.descriptor(), inherited.predecessor());
            first.submit(offer::close).get();
            Optional<InheritedSocket> thirdSocket = HandoverReceiver.receive(first, path, 30_000);
            assertThat(thirdSocket).isPresent();
            InheritedSocket third = thirdSocket.orElseThrow();
            assertThat(second.submit(next::hasSuccessor).get()).isTrue();
            third.predecessor().close().sync();
            while (second.submit(next::hasSuccessor).get()) {
                Thread.onSpinWait(); // a successor that has died no longer counts
            }
        }
    }

    @Test
    void receivesNothingWithoutLivePredecessor() throws Exception {
        Path path = HandoverPath.of(folder, 1);
        assertThat(HandoverReceiver.receive(first, path, 30_000)).isEmpty();
        Files.createFile(path);
        assertThat(HandoverReceiver.receive(first, path, 30_000)).isEmpty();
        Files.delete(path);
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        Handover offer = Handover.offer(first, path, listening.fd().intValue(), null);
        first.submit(offer::close).get();
        assertThat(path).doesNotExist();
    }

    @Test
    void replacesFileLeftByKilledProcess() throws Exception {
        Path path = HandoverPath.of(folder, 1);
        Files.createFile(path);
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        Handover.offer(first, path, listening.fd().intValue(), null);
        assertThat(HandoverReceiver.receive(second, path, 30_000)).isPresent();
    }

    @Test
    void receivesNothingFromLinkDirectoryOrForeignSocket() throws Exception {
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        int descriptor = listening.fd().intValue();
        // A link is replaced itself; its target is left alone.
        Path precious = Files.writeString(folder.resolve("precious"), "x");
        Path link = Files.createSymbolicLink(HandoverPath.of(folder, 1), precious);
        assertThat(HandoverReceiver.receive(second, link, 30_000)).isEmpty();
        Handover.offer(first, link, descriptor, null);
        assertThat(Files.isSymbolicLink(link)).isFalse();
        assertThat(precious).hasContent("x");
        assertThat(HandoverReceiver.receive(second, link, 30_000)).isPresent();
        Path dangling = Files.createSymbolicLink(HandoverPath.of(folder, 2), folder.resolve("nowhere"));
        assertThat(HandoverReceiver.receive(second, dangling, 30_000)).isEmpty();
        Handover.offer(first, dangling, descriptor, null);
        assertThat(HandoverReceiver.receive(second, dangling, 30_000)).isPresent();
        Path directory = Files.createDirectories(HandoverPath.of(folder, 3).resolve("full"))
                .getParent();
        assertThat(HandoverReceiver.receive(second, directory, 30_000)).isEmpty();
        assertThatThrownBy(() -> Handover.offer(first, directory, descriptor, null))
                .isInstanceOf(IOException.class);
        // One process accepts and sends nothing, the other sends data without a descriptor.
        for (String sent : new String[] {"", "noise"}) {
            Path silent = folder.resolve("silent" + sent.length());
            try (ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                other.bind(UnixDomainSocketAddress.of(silent));
                Thread talker = new Thread(() -> {
                    try {
                        other.accept().write(ByteBuffer.wrap(sent.getBytes(StandardCharsets.US_ASCII)));
                    } catch (IOException e) {
                        // the test has ended
                    }
                });
                talker.setDaemon(true);
                talker.start();
                assertThat(HandoverReceiver.receive(second, silent, 200)).isEmpty();
            }
        }
    }

    @Test
    void rejectsSuccessorsBeyondTheMaximum() throws Exception {
        Path path = HandoverPath.of(folder, 1);
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        Handover.offer(first, path, listening.fd().intValue(), null);
        for (int i = 0; i < Handover.MAX_SUCCESSORS; i++) {
            assertThat(HandoverReceiver.receive(second, path, 30_000)).isPresent();
        }
        assertThat(HandoverReceiver.receive(second, path, 30_000)).isEmpty();
    }

    @Test
    void rejectsPathTooLongForSocketAddress() throws Exception {
        Path deep = Path.of("/" + "d".repeat(120), "x");
        assertThat(HandoverReceiver.receive(first, deep, 30_000)).isEmpty();
        assertThatThrownBy(() -> Handover.offer(first, deep, 0, null))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("too long");
    }
}
