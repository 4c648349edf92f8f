package cacheproxy.proxy.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;

/**
 * An address that is bound but not listened on yet, so that clients are refused and connect elsewhere immediately,
 * instead of waiting in a queue while their requests' deadlines approach.
 */
public final class ReservedAddress implements AutoCloseable {
    private final Socket socket;
    private final InetSocketAddress address;

    private ReservedAddress(Socket socket) {
        this.socket = socket;
        address = (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /**
     * Binds the address; for port 0, the operating system chooses the port.
     *
     * @throws IOException if the address can't be bound; the message has the operating system's reason
     */
    public static ReservedAddress bind(SocketAddress address) throws IOException {
        Socket socket = new Socket();
        try {
            // Without this option, the listening socket could not bind the address while this socket holds it.
            socket.setReuseAddress(true);
            socket.bind(address);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return new ReservedAddress(socket);
    }

    /** The bound address, with the port that the operating system chose for port 0. */
    public InetSocketAddress address() {
        return address;
    }

    /** Releases the address. */
    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // the socket has no connection that could be lost
        }
    }
}
