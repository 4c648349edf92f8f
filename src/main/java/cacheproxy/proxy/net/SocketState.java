package cacheproxy.proxy.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.epoll.EpollTcpInfo;

/** What the operating system knows of a connection before its events are handled. */
public final class SocketState {
    /** States of a TCP connection as Linux numbers them (netinet/tcp.h). */
    private static final int TCP_CLOSE = 7;

    private static final int TCP_CLOSE_WAIT = 8;

    private SocketState() {}

    /** Whether the peer has closed or reset the connection; false where the system does not tell. */
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
