package cacheproxy.proxy.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketAddress;

/**
 * An address that is bound and not listened at yet, so that clients are refused and go elsewhere at once instead of
 * waiting in a queue while their requests' time runs.
 */
public final class ReservedAddress implements AutoCloseable {
    private final Socket socket;

    private ReservedAddress(Socket socket) {
        this.socket = socket;
    }

    /**
     * Binds the address; port 0 lets the system choose one.
     *
     * @throws IOException if the address can't be bound, with the system's reason
     */
    public static ReservedAddress bind(SocketAddress address) throws IOException {
        Socket socket = new Socket();
        try {
            // Without it the listening socket could not bind the address while this one has it.
            socket.setReuseAddress(true);
            socket.bind(address);
        } catch (IOException e) {
            socket.close();
            throw e;
        }
        return new ReservedAddress(socket);
    }

    /** The bound address, with the port that the system chose for port 0. */
    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** Gives the address back. */
    @Override
    public void close() {
        try {
            socket.close();
        } catch (IOException e) {
            // the socket has no connection that could be lost
        }
    }
}
