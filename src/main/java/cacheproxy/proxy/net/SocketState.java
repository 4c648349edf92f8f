package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;
import io.netty.channel.unix.Socket;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;

/** The state of a connection in the operating system, which is known before the connection's events are handled. */
public final class SocketState {
    /** States of a TCP connection as Linux numbers them (netinet/tcp.h). */
    private static final int TCP_ESTABLISHED = 1;

    private static final int TCP_CLOSE = 7;

    private static final int TCP_CLOSE_WAIT = 8;

    /** A longer time since the last bytes came is taken for a system that does not record it. */
    private static final long MAX_UNREAD_MS = 10_000;

    /** The option that reads a connection's {@code struct tcp_info} (linux/tcp.h). */
    private static final int IPPROTO_TCP = 6;

    private static final int TCP_INFO = 11;
    /** Where {@code tcpi_bytes_received}, of 64 bits, is in that structure. */
    private static final int BYTES_RECEIVED_OFFSET = 128;

    private static final int TCP_INFO_BYTES = BYTES_RECEIVED_OFFSET + Long.BYTES;

    private SocketState() {}

    /**
     * Returns whether the peer has closed or reset the connection; false if the operating system does not report it.
     */
    public static boolean isEndedByPeer(Channel channel) {
        if (!channel.isActive()) {
            return true;
        }
        EpollTcpInfo info = tcpInfo(channel);
        return info != null && (info.state() == TCP_CLOSE || info.state() == TCP_CLOSE_WAIT);
    }

    /**
     * Returns for how long, in milliseconds, the bytes that the peer sent last have been in the operating system; 0 if
     * it does not report that.
     */
    public static double lastReceivedAgoMs(Channel channel) {
        EpollTcpInfo info = tcpInfo(channel);
        return info == null || info.lastDataRecv() > MAX_UNREAD_MS ? 0 : info.lastDataRecv();
    }

    /**
     * Returns how many bytes the operating system has received on the connection and has not handed over; 0 if it does
     * not report that.
     *
     * @param readBytes how many bytes have been read from the connection
     */
    public static long unreadBytes(Channel channel, long readBytes) {
        if (!(channel instanceof EpollSocketChannel epoll) || !(epoll.fd() instanceof Socket socket)) {
            return 0;
        }
        ByteBuffer info = ByteBuffer.allocateDirect(TCP_INFO_BYTES).order(ByteOrder.nativeOrder());
        try {
            socket.getRawOpt(IPPROTO_TCP, TCP_INFO, info);
        } catch (IOException e) {
            return 0;
        }
        boolean ended = info.get(0) != TCP_ESTABLISHED;
        long received = info.getLong(BYTES_RECEIVED_OFFSET) - (ended ? 1 : 0); // the peer's end counts as a byte
        return Math.max(0, received - readBytes);
    }

    /** Returns null if the operating system does not report the state of the connection. */
    private static EpollTcpInfo tcpInfo(Channel channel) {
        if (!(channel instanceof EpollSocketChannel socket)) {
            return null;
        }
        try {
            EpollTcpInfo info = new EpollTcpInfo();
            socket.tcpInfo(info);
            return info;
        } catch (ChannelException e) {
            return null;
        }
    }
}
