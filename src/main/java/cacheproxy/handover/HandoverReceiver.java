package cacheproxy.handover;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollDomainSocketChannel;
import io.netty.channel.unix.DomainSocketAddress;
import io.netty.channel.unix.DomainSocketReadMode;
import io.netty.channel.unix.FileDescriptor;
import io.netty.util.concurrent.Promise;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/** Receives the listening socket of a running process, if there is one. */
public final class HandoverReceiver {
    private HandoverReceiver() {}

    /**
     * Requests the listening socket from the process that offers it at a path. Blocks, so it must not run on
     * {@code loop}.
     *
     * @param waitMs how long to wait for the answer, in milliseconds
     * @return empty if no process of this user answers in time
     */
    public static Optional<InheritedSocket> receive(EventLoop loop, Path path, long waitMs)
            throws InterruptedException {
        boolean usable =
                HandoverPath.fitsSocketAddress(path) && Files.exists(path) && HandoverPath.isOwnedByThisUser(path);
        if (!usable) {
            return Optional.empty();
        }
        Promise<FileDescriptor> received = loop.newPromise();
        Channel predecessor = connect(loop, path, received);
        if (received.await(waitMs, TimeUnit.MILLISECONDS) && received.isSuccess()) {
            return Optional.of(new InheritedSocket(received.getNow().intValue(), predecessor));
        }
        abandon(received, predecessor);
        return Optional.empty();
    }

    private static Channel connect(EventLoop loop, Path path, Promise<FileDescriptor> received) {
        ChannelFuture connected = new Bootstrap()
                .group(loop)
                .channel(EpollDomainSocketChannel.class)
                .option(EpollChannelOption.DOMAIN_SOCKET_READ_MODE, DomainSocketReadMode.FILE_DESCRIPTORS)
                .handler(new DescriptorReader(received))
                .connect(new DomainSocketAddress(path.toFile()));
        return connected
                .addListener(future -> {
                    if (!future.isSuccess()) {
                        received.tryFailure(future.cause());
                    }
                })
                .channel();
    }

    @SuppressWarnings("FutureReturnValueIgnored") // nothing is left to do if closing fails
    private static void abandon(Promise<FileDescriptor> received, Channel predecessor) {
        received.cancel(false); // a descriptor that arrives later is closed
        predecessor.close();
    }

    /** Completes a promise with the descriptor that the predecessor sends, and closes any further ones. */
    private static final class DescriptorReader extends ChannelInboundHandlerAdapter {
        private final Promise<FileDescriptor> received;

        DescriptorReader(Promise<FileDescriptor> received) {
            this.received = received;
        }

        @Override
        public void channelRead(ChannelHandlerContext ctx, Object message) throws IOException {
            if (message instanceof FileDescriptor descriptor && !received.trySuccess(descriptor)) {
                descriptor.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            received.tryFailure(new IOException("the predecessor closed the connection without sending its socket"));
        }

        @Override
        @SuppressWarnings("FutureReturnValueIgnored") // nothing is left to do if closing fails
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            received.tryFailure(cause);
            ctx.close();
        }
    }
}
