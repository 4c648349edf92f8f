package cacheproxy.handover;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.epoll.EpollServerDomainSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.FileDescriptor;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayDeque;
import java.util.List;

/**
 * Offers the listening socket of this process to successors. A successor is a process of the same user that has
 * received the socket and whose connection is still open.
 */
public final class Handover {
    /** Maximum of concurrent successors; the connections of further ones are closed. */
    static final int MAX_SUCCESSORS = 4;

    private final Path path;
    private final int descriptor;
    /** The connection to the process from which this process has received its socket; null if there is none. */
    private final Channel predecessor;
    /** Open connections of successors. */
    private final ArrayDeque<Channel> successors = new ArrayDeque<>();

    private Channel listener;
    private boolean everReceived;

    private Handover(Path path, int descriptor, Channel predecessor) {
        this.path = path;
        this.descriptor = descriptor;
        this.predecessor = predecessor;
    }

    /**
     * Offers a listening socket at a path, in place of any process that has offered one there. Blocks, so it must not
     * run on {@code loop}.
     *
     * @param descriptor file descriptor of the listening socket
     * @param predecessor the connection to the predecessor, kept open until {@link #close}; null for none
     * @throws IOException if no socket can be bound at the path
     */
    public static Handover offer(EventLoop loop, Path path, int descriptor, Channel predecessor) throws IOException {
        if (!HandoverPath.fitsSocketAddress(path)) {
            throw new IOException("the path " + path + " is too long for a socket");
        }
        Handover handover = new Handover(path, descriptor, predecessor);
        handover.bind(loop);
        return handover;
    }

    /**
     * Binds the socket under a temporary name and renames it, so that a successor always finds a socket at the path.
     */
    private void bind(EventLoop loop) throws IOException {
        Path temporary = path.resolveSibling(
                path.getFileName() + "." + ProcessHandle.current().pid());
        Files.deleteIfExists(temporary);
        listener = new ServerBootstrap()
                .group(loop)
                .channel(EpollServerDomainSocketChannel.class)
                .childHandler(new ChannelInitializer<EpollDomainSocketChannel>() {
                    @Override
                    protected void initChannel(EpollDomainSocketChannel channel) {
                        accept(channel);
                    }
                })
                .bind(new DomainSocketAddress(temporary.toFile()))
                .syncUninterruptibly()
                .channel();
        Files.move(temporary, path, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing is left to do if closing fails
    private void accept(EpollDomainSocketChannel channel) {
        if (!isOfThisUser(channel) || successors.size() >= MAX_SUCCESSORS) {
            channel.close();
            return;
        }
        successors.add(channel);
        everReceived = true;
        channel.closeFuture().addListener(future -> successors.remove(channel));
        channel.pipeline().addLast(new DescriptorSender(descriptor));
    }

    private static boolean isOfThisUser(EpollDomainSocketChannel channel) {
        try {
            return channel.peerCredentials().uid() == HandoverPath.thisUserId();
        } catch (IOException e) {
            return false; // a peer without known credentials is not trusted
        }
    }

    /** Returns whether a successor is connected. Must be called on the event loop. */
    public boolean hasSuccessor() {
        return !successors.isEmpty();
    }

    /** Ends the offer. If a successor has ever received the socket, the path belongs to that successor and is kept. */
    @SuppressWarnings("FutureReturnValueIgnored") // nothing is left to do if closing fails
    public void close() {
        listener.close();
        List.copyOf(successors).forEach(Channel::close); // a copy, as each channel removes itself from the list
        if (predecessor != null) {
            predecessor.close();
        }
        if (!everReceived) {
            deletePath();
        }
    }

    private void deletePath() {
        try {
            Files.deleteIfExists(path);
        } catch (IOException e) {
            // a later process finds that no process responds at the path
        }
    }

    /** Sends the descriptor of the listening socket to a successor as soon as it is connected. */
    private static final class DescriptorSender extends ChannelInboundHandlerAdapter {
        private final int descriptor;

        DescriptorSender(int descriptor) {
            this.descriptor = descriptor;
        }

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // a failed write shows as a closed connection
        public void channelActive(ChannelHandlerContext ctx) {
            ctx.writeAndFlush(new FileDescriptor(descriptor));
        }

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // nothing is left to do if closing fails
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
