package cacheproxy.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

/**
 * A loopback address that refuses connections: its port is bound, but nothing listens on it. While this is open, no
 * other process can listen there, unlike on a port that was only closed.
 */
public final class RefusingAddress implements AutoCloseable {
    private final Socket socket = new Socket();

    /** Binds a free port. */
    public RefusingAddress() throws IOException {
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    /** The address in the format of an endpoint list. */
    public String dial() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
