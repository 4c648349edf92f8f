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
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Two event loops stand for two processes. */
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

    private static ServerBootstrap counting(EventLoop loop, AtomicInteger taken) {
        return new ServerBootstrap().group(loop).childHandler(new Greeter(taken));
    }

    @io.netty.channel.ChannelHandler.Sharable
    private static final class Greeter extends ChannelInboundHandlerAdapter {
        private final AtomicInteger taken;

        Greeter(AtomicInteger taken) {
            this.taken = taken;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            taken.incrementAndGet();
            ctx.writeAndFlush(ctx.alloc().buffer(1).writeByte('x'));
        }
    }

    @Test
    void whatIsQueuedWhileTheFirstStopsIsTakenByTheSecond() throws Exception {
        AtomicInteger byFirst = new AtomicInteger();
        AtomicInteger bySecond = new AtomicInteger();
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, byFirst)
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        int port = listening.localAddress().getPort();
        Path path = Handover.path(folder, port);
        Handover offer = Handover.offer(first, path, listening.fd().intValue(), null);
        assertThat(first.submit(offer::hasSuccessor).get()).isFalse();
        Handover.Taken taken = Handover.take(second, path, 30_000);
        assertThat(taken).isNotNull();
        assertThat(first.submit(offer::hasSuccessor).get()).isTrue();
        // The first stops before the second takes anything: what comes in between has only the shared queue.
        first.submit(() -> listening.deregister().addListener(f -> listening.close()))
                .get();
        listening.closeFuture().sync();
        try (Socket a = new Socket(InetAddress.getByName("127.0.0.1"), port);
                Socket b = new Socket(InetAddress.getByName("127.0.0.1"), port)) {
            Channel adopted = counting(second, bySecond)
                    .channelFactory(() -> new EpollServerSocketChannel(taken.descriptor()))
                    .register()
                    .sync()
                    .channel();
            assertThat(((InetSocketAddress) adopted.localAddress()).getPort()).isEqualTo(port);
            assertThat(a.getInputStream().read()).isEqualTo('x');
            assertThat(b.getInputStream().read()).isEqualTo('x');
            assertThat(byFirst).hasValue(0);
            assertThat(bySecond).hasValue(2);
            // One after another: the second offers it on at the same path, and the first's end leaves that alone.
            Handover next = Handover.offer(second, path, taken.descriptor(), taken.line());
            first.submit(offer::close).get();
            Handover.Taken third = Handover.take(first, path, 30_000);
            assertThat(third).isNotNull();
            assertThat(second.submit(next::hasSuccessor).get()).isTrue();
            third.line().close().sync();
            while (second.submit(next::hasSuccessor).get()) {
                Thread.onSpinWait(); // a successor that dies is none
            }
        }
    }

    @Test
    void nothingIsTakenWhereNobodyOffersOrWhoOfferedHasDied() throws Exception {
        Path path = Handover.path(folder, 1);
        assertThat(Handover.take(first, path, 30_000)).isNull();
        Files.createFile(path);
        assertThat(Handover.take(first, path, 30_000)).isNull();
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
    void whatAProcessThatWasKilledLeftThereIsReplaced() throws Exception {
        Path path = Handover.path(folder, 1);
        Files.createFile(path);
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        Handover.offer(first, path, listening.fd().intValue(), null);
        Handover.Taken taken = Handover.take(second, path, 30_000);
        assertThat(taken).isNotNull();
    }

    @Test
    void aPathThatIsALinkADirectoryOrASocketThatGivesNothingStopsNobody() throws Exception {
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        int descriptor = listening.fd().intValue();
        // A link is replaced itself; what it points to is left alone.
        Path precious = Files.writeString(folder.resolve("precious"), "x");
        Path link = Files.createSymbolicLink(Handover.path(folder, 1), precious);
        assertThat(Handover.take(second, link, 30_000)).isNull();
        Handover.offer(first, link, descriptor, null);
        assertThat(Files.isSymbolicLink(link)).isFalse();
        assertThat(precious).hasContent("x");
        assertThat(Handover.take(second, link, 30_000)).isNotNull();
        Path dangling = Files.createSymbolicLink(Handover.path(folder, 2), folder.resolve("nowhere"));
        assertThat(Handover.take(second, dangling, 30_000)).isNull();
        Handover.offer(first, dangling, descriptor, null);
        assertThat(Handover.take(second, dangling, 30_000)).isNotNull();
        Path directory = Files.createDirectories(Handover.path(folder, 3).resolve("full"))
                .getParent();
        assertThat(Handover.take(second, directory, 30_000)).isNull();
        assertThatThrownBy(() -> Handover.offer(first, directory, descriptor, null))
                .isInstanceOf(IOException.class);
        // One that takes the call and says nothing, and one that says what is no descriptor.
        for (String said : new String[] {"", "noise"}) {
            Path silent = folder.resolve("silent" + said.length());
            try (ServerSocketChannel other = ServerSocketChannel.open(StandardProtocolFamily.UNIX)) {
                other.bind(UnixDomainSocketAddress.of(silent));
                Thread talker = new Thread(() -> {
                    try {
                        other.accept().write(ByteBuffer.wrap(said.getBytes()));
                    } catch (IOException e) {
                        // the test has ended
                    }
                });
                talker.setDaemon(true);
                talker.start();
                assertThat(Handover.take(second, silent, 200)).isNull();
            }
        }
    }

    @Test
    void noMoreThanTheBoundAskAtOnce() throws Exception {
        Path path = Handover.path(folder, 1);
        EpollServerSocketChannel listening = (EpollServerSocketChannel) counting(first, new AtomicInteger())
                .channel(EpollServerSocketChannel.class)
                .bind("127.0.0.1", 0)
                .sync()
                .channel();
        Handover.offer(first, path, listening.fd().intValue(), null);
        for (int i = 0; i < Handover.MAX_ASKERS; i++) {
            assertThat(Handover.take(second, path, 30_000)).isNotNull();
        }
        assertThat(Handover.take(second, path, 30_000)).isNull();
    }

    @Test
    void aFolderTooDeepForASocketIsToldAndNothingIsTakenThere() throws Exception {
        Path deep = Path.of("/" + "d".repeat(120), "x");
        assertThat(Handover.take(first, deep, 30_000)).isNull();
        assertThatThrownBy(() -> Handover.offer(first, deep, 0, null))
                .isInstanceOf(IOException.class)
                .hasMessageContaining("too long");
    }
}
