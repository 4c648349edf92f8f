package cacheproxy.proxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.unix.Socket;
import io.netty.channel.unix.UnixChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.NotYetConnectedException;
import java.nio.channels.SocketChannel;

/**
 * Reads what the operating system has received on a connection without waiting for the event loop's next poll, so that
 * a connection is ended only when nothing is left unread on it. A poll tells what had arrived when it returned, which
 * may be long ago if the loop was busy or its process was stopped. One instance for each event loop, used on it only.
 */
public final class ReceiveQueue {
    private static final int MAX_READ_BYTES = 16 << 10;

    /** The option that reads a connection's {@code struct tcp_info} (linux/tcp.h). */
    private static final int IPPROTO_TCP = 6;

    private static final int TCP_INFO = 11;
    /** Where {@code tcpi_bytes_received}, of 64 bits, is in that structure. */
    private static final int BYTES_RECEIVED_OFFSET = 128;
    /** What the peer's end adds to that count. */
    private static final int END_BYTES = 1;

    private final ByteBuffer input = ByteBuffer.allocateDirect(MAX_READ_BYTES);
    private final ByteBuffer tcpInfo =
            ByteBuffer.allocateDirect(BYTES_RECEIVED_OFFSET + Long.BYTES).order(ByteOrder.nativeOrder());

    /** Returns what has been received, up to 16 KiB; null if nothing is unread or the connection has ended. */
    public ByteBuf read(Channel channel) {
        return channel.isActive() ? received(channel, fill(channel)) : null;
    }

    /**
     * Shuts down the output of a connection on which nothing is unread, with no other step between the two.
     *
     * @return what has been received, up to 16 KiB, in which case the output is not shut down; null otherwise
     */
    public ByteBuf readOrShutDownOutput(Channel channel) {
        if (!channel.isActive()) {
            return null;
        }
        int bytes = fill(channel);
        if (bytes <= 0) {
            shutDownOutput(channel);
            return null;
        }
        return received(channel, bytes);
    }

    /**
     * Returns how many bytes the operating system has received on the connection and has not handed over; 0 if it does
     * not report that, or for a single byte, which no command is.
     *
     * @param readBytes how many bytes have been read from the connection
     */
    public long unreadBytes(Channel channel, long readBytes) {
        if (!(channel instanceof EpollSocketChannel epoll) || !(epoll.fd() instanceof Socket socket)) {
            return 0;
        }
        tcpInfo.clear();
        try {
            socket.getRawOpt(IPPROTO_TCP, TCP_INFO, tcpInfo);
        } catch (IOException e) {
            return 0;
        }
        long unread = tcpInfo.getLong(BYTES_RECEIVED_OFFSET) - readBytes;
        // The peer's end counts as a byte, and the state that tells of it may have been taken before the count.
        if (unread <= END_BYTES) {
            return 0;
        }
        return SocketState.isEndReceived(tcpInfo.get(0)) ? unread - END_BYTES : unread;
    }

    /** Returns the number of bytes that are read; 0 or less if there are none. */
    private int fill(Channel channel) {
        input.clear();
        try {
            if (channel instanceof UnixChannel unix) {
                return unix.fd().read(input, 0, MAX_READ_BYTES);
            }
            return channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio
                            && nio.ch() instanceof SocketChannel socket
                    ? socket.read(input)
                    : 0;
        } catch (IOException | NotYetConnectedException e) {
            return 0; // the connection is broken, which the next poll tells
        }
    }

    private ByteBuf received(Channel channel, int bytes) {
        if (bytes <= 0) {
            return null;
        }
        input.limit(bytes).position(0);
        return channel.alloc().buffer(bytes).writeBytes(input);
    }

    private static void shutDownOutput(Channel channel) {
        try {
            if (channel instanceof UnixChannel unix && unix.fd() instanceof Socket socket) {
                socket.shutdown(false, true);
            } else if (channel.unsafe() instanceof AbstractNioChannel.NioUnsafe nio
                    && nio.ch() instanceof SocketChannel socket) {
                socket.shutdownOutput();
            }
        } catch (IOException | NotYetConnectedException e) { // the latter after a reset
            // the connection is broken, which the next poll tells
        }
    }
}
