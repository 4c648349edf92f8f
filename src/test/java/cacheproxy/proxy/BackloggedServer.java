package cacheproxy.proxy;

import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A server whose connections are established only when it accepts them: its accept queue is full until then. */
final class BackloggedServer implements AutoCloseable {
    private final ServerSocket server = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final List<Socket> queue = new ArrayList<>();

    BackloggedServer() throws IOException {
        fillAcceptQueue();
    }

    /** Fills the accept queue, so that no further connection is established. */
    void fillAcceptQueue() throws IOException {
        for (boolean full = false; !full; ) {
            Socket socket = new Socket();
            try {
                socket.connect(server.getLocalSocketAddress(), 200);
                queue.add(socket);
            } catch (SocketTimeoutException e) {
                socket.close();
                full = true;
            }
        }
    }

    String dial() {
        return "127.0.0.1:" + server.getLocalPort();
    }

    /** Accepts waiting connections, up to and including the first one of the proxy. */
    ScriptedServer.Connection acceptNext() throws IOException {
        Set<Integer> ownPorts = new HashSet<>();
        queue.forEach(socket -> ownPorts.add(socket.getLocalPort()));
        Socket accepted = server.accept();
        while (ownPorts.contains(accepted.getPort())) {
            accepted.close();
            accepted = server.accept();
        }
        accepted.setSoTimeout(20_000);
        return new ScriptedServer.Connection(accepted, null);
    }

    @Override
    public void close() throws IOException {
        for (Socket socket : queue) {
            socket.close();
        }
        server.close();
    }

    /** Reads the head of an HTTP request. */
    static String readRequestHead(ScriptedServer.Connection connection) throws IOException {
        StringBuilder text = new StringBuilder();
        for (String line = connection.readLine(); !line.isEmpty(); line = connection.readLine()) {
            text.append(line).append('\n');
        }
        return text.toString();
    }
}
