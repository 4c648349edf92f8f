package cacheproxy.config;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnknownHostException;

/** Addresses are literal: nothing here asks for a name. */
public final class Addresses {
    private Addresses() {}

    /** A literal IPv4 or IPv6 address with its port, such as {@code 127.0.0.1:11211} or {@code [::1]:0}. */
    public static InetSocketAddress of(String text) {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            if (ip != null) {
                return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
            }
        } catch (UnknownHostException | IllegalArgumentException e) {
            // told below
        }
        throw new IllegalArgumentException("'" + text + "' is not an address with a port");
    }

    /** An address in the form that it is told in. */
    public static String text(SocketAddress address) {
        return address instanceof InetSocketAddress i
                ? i.getAddress().getHostAddress() + ":" + i.getPort()
                : address.toString();
    }
}
