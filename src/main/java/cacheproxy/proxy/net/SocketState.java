package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/** The state of a connection in the operating system, which is known before the connection's events are handled. */
public final class SocketState {
    /** States of a TCP connection as Linux numbers them (netinet/tcp.h). */
    private static final int TCP_TIME_WAIT = 6;

    private static final int TCP_CLOSE = 7;

    private static final int TCP_CLOSE_WAIT = 8;
    private static final int TCP_LAST_ACK = 9;
    private static final int TCP_CLOSING = 11;

    /** A longer time since the last bytes came is taken for a system that does not record it. */
    private static final long MAX_UNREAD_MS = 10_000;

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

    /** Returns whether a connection in this state (netinet/tcp.h) has received the peer's end. */
    static boolean isEndReceived(int state) {
        return state == TCP_TIME_WAIT
                || state == TCP_CLOSE
                || state == TCP_CLOSE_WAIT
                || state == TCP_LAST_ACK
                || state == TCP_CLOSING;
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
