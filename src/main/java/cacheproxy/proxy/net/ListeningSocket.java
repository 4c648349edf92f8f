package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;

/** Accepts connections of a listening channel without waiting for the event loop's next poll. */
public final class ListeningSocket {
    /** The bytes of the largest socket address and its length, which the native library fills in. */
    private static final int ADDRESS_BYTES = 26;

    private ListeningSocket() {}

    /**
     * Accepts the next connection in the queue; if there is none, closes the socket, with no other step between the
     * two.
     *
     * @return the connection, which is registered with no event loop; null if there is none, or this kind of channel
     *     can't be accepted from
     * @throws IOException if the operating system can't accept a connection, as for lack of descriptors
     */
    public static Channel acceptOrClose(Channel listening) throws IOException {
        if (listening instanceof EpollServerSocketChannel epoll && epoll.fd() instanceof Socket socket) {
            int descriptor = socket.accept(new byte[ADDRESS_BYTES]);
            if (descriptor >= 0) {
                return new EpollSocketChannel(descriptor);
            }
            socket.close();
        } else if (listening.unsafe() instanceof AbstractNioChannel.NioUnsafe nio
                && nio.ch() instanceof ServerSocketChannel server) {
            SocketChannel accepted = server.accept();
            if (accepted != null) {
                return new NioSocketChannel(listening, accepted);
            }
            server.close();
        }
        return null;
    }
}
