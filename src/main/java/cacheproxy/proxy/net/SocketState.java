package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/** The state of a connection in the operating system, which is known before the connection's events are handled. */
public final class SocketState {
    /** States of a TCP connection as Linux numbers them (netinet/tcp.h). */
    private static final int TCP_CLOSE = 7;

    private static final int TCP_CLOSE_WAIT = 8;

    private SocketState() {}

    /**
     * Returns whether the peer has closed or reset the connection; false if the operating system does not report it.
     */
    public static boolean isEndedByPeer(Channel channel) {
        if (!channel.isActive()) {
            return true;
        }
        if (!(channel instanceof EpollSocketChannel socket)) {
            return false;
        }
        try {
            EpollTcpInfo info = new EpollTcpInfo();
            socket.tcpInfo(info);
            return info.state() == TCP_CLOSE || info.state() == TCP_CLOSE_WAIT;
        } catch (ChannelException e) {
            return false;
        }
    }
}
