package cacheproxy.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/** Parses and formats literal socket addresses; host names are never resolved. */
public final class Addresses {
    private Addresses() {}

    /**
     * Parses a literal IPv4 or IPv6 address with its port, such as {@code 127.0.0.1:11211} or {@code [::1]:0}.
     *
     * @throws IllegalArgumentException if the text is anything else
     */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] address = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (address != null) {
                return new InetSocketAddress(
                        InetAddress.getByAddress(address), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            // reported below with the whole text
        }
        throw new IllegalArgumentException("'" + text + "' is not an address with a port");
    }

    /** Formats an address as host and port, without a host name. */
    public static String text(SocketAddress address) {
        return address instanceof InetSocketAddress socketAddress
                ? socketAddress.getAddress().getHostAddress() + ":" + socketAddress.getPort()
                : address.toString();
    }
}
