package cacheproxy.handover;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.DomainSocketReadMode;
import io.netty.channel.unix.FileDescriptor;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/**
 * Passes a listening socket from a running process to the one that is to follow it, over a Unix domain socket in a
 * folder that both have (SCM_RIGHTS, unix(7)). Both then take connections off one queue, so none that the kernel has
 * accepted is reset when the older one stops: with SO_REUSEPORT each process has a queue of its own, and what stands in
 * it goes with the process.
 *
 * <p>Who asks holds its connection for as long as it lives: one that dies again is no successor.
 */
public final class Handover {
    /** Askers at once; a further one is turned away. */
    static final int MAX_ASKERS = 4;
    /** What a Unix address may have, with the end (sun_path, unix(7)). */
    private static final int MAX_PATH = 107;

    private final EventLoop loop;
    private final Path path;
    private final int descriptor;
    private final ArrayDeque<Channel> askers = new ArrayDeque<>();
    private Channel predecessor;
    private Channel channel;
    private boolean given;

    private Handover(EventLoop loop, Path path, int descriptor) {
        this.loop = loop;
        this.path = path;
        this.descriptor = descriptor;
    }

    /** What a process has been given by the one before it. @param line holds it to us as its successor */
    public record Taken(int descriptor, Channel line) {}

    /** Where the process that listens at this port gives its socket; a socket's name is bounded, so it is short. */
    public static Path path(Path folder, int port) {
        return folder.resolve("listen-" + port);
    }

    /**
     * Asks the process that offers its listening socket there, if any does.
     *
     * @param waitMs for its answer, in milliseconds
     * @return null where none answers in time
     */
    public static Taken take(EventLoop loop, Path path, long waitMs) throws InterruptedException {
        if (!usable(path) || !Files.exists(path) || !ours(path)) {
            return null;
        }
        Promise<FileDescriptor> given = loop.newPromise();
        Channel line = new Bootstrap()
                .group(loop)
                .channel(EpollDomainSocketChannel.class)
                .option(EpollChannelOption.DOMAIN_SOCKET_READ_MODE, DomainSocketReadMode.FILE_DESCRIPTORS)
                .handler(new Taker(given))
                .connect(new DomainSocketAddress(path.toFile()))
                .addListener(f -> {
                    if (!f.isSuccess()) {
                        given.tryFailure(f.cause());
                    }
                })
                .channel();
        if (given.await(waitMs, TimeUnit.MILLISECONDS) && given.isSuccess()) {
            return new Taken(given.getNow().intValue(), line);
        }
        given.cancel(false); // what comes later is closed
        line.close();
        return null;
    }

    private static final class Taker extends ChannelInboundHandlerAdapter {
        private final Promise<FileDescriptor> given;

        Taker(Promise<FileDescriptor> given) {
            this.given = given;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws IOException {
            if (message instanceof FileDescriptor fd && !given.trySuccess(fd)) {
                fd.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            given.tryFailure(new IOException("gave nothing"));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            given.tryFailure(cause);
            ctx.close();
        }
    }

    /**
     * Offers a listening socket from now on, in the place of whoever has offered one there.
     *
     * @param predecessor the line to it, kept while both live; null for none
     */
    public static Handover offer(EventLoop loop, Path path, int descriptor, Channel predecessor) throws IOException {
        if (!usable(path)) {
            throw new IOException("the path " + path + " is too long for a socket");
        }
        Handover h = new Handover(loop, path, descriptor);
        h.predecessor = predecessor;
        // Bound aside and moved into place: at no time does a successor find nothing there.
        Path aside = path.resolveSibling(
                path.getFileName() + "." + ProcessHandle.current().pid());
        Files.deleteIfExists(aside);
        h.channel = new ServerBootstrap()
                .group(loop)
                .channel(EpollServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<EpollDomainSocketChannel>() {
                    @Override
                    protected void initChannel(EpollDomainSocketChannel asker) {
                        h.asked(asker);
                    }
                })
                .bind(new DomainSocketAddress(aside.toFile()))
                .syncUninterruptibly()
                .channel();
        Files.move(aside, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        return h;
    }

    private void asked(EpollDomainSocketChannel asker) {
        boolean own;
        try {
            own = asker.peerCredentials().uid() == uid(Path.of("/proc/self"));
        } catch (IOException e) {
            own = false;
        }
        if (!own || askers.size() >= MAX_ASKERS) {
            asker.close();
            return;
        }
        askers.add(asker);
        given = true;
        asker.closeFuture().addListener(f -> askers.remove(asker));
        asker.pipeline().addLast(new ChannelInboundHandlerAdapter() {
            @Override
            public void channelActive(ChannelHandlerContext ctx) {
                ctx.writeAndFlush(new FileDescriptor(descriptor));
            }

            @Override
            public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                ctx.close();
            }
        });
    }

    /** Whether a process that has been given the socket is there now; asked on the loop. */
    public boolean hasSuccessor() {
        return !askers.isEmpty();
    }

    /** Offers nothing any more. The path is left to a successor, if there ever was one. */
    public void close() {
        channel.close();
        java.util.List.copyOf(askers).forEach(Channel::close); // each takes itself out
        if (predecessor != null) {
            predecessor.close();
        }
        if (!given) {
            try {
                Files.deleteIfExists(path);
            } catch (IOException e) {
                // the next one finds it dead
            }
        }
    }

    private static boolean usable(Path path) {
        return path.toString().length() <= MAX_PATH - 12; // with the process's number while it is bound aside
    }

    /** Whether a file is this user's: in a shared folder anybody may have put it there. */
    private static boolean ours(Path path) {
        try {
            return uid(path) == uid(Path.of("/proc/self"));
        } catch (IOException e) {
            return false;
        }
    }

    private static int uid(Path path) throws IOException {
        return (Integer) Files.getAttribute(path, "unix:uid");
    }
}
