package cacheproxy.fakes;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/**
 * An HTTP server on loopback that answers each request with the node to which {@link NginxReferenceModel} routes it,
 * instead of forwarding the request to that node. The answer has the headers {@code X-Pool}, {@code X-Node} ({@code -}
 * if any node of the pool may serve the request) and {@code X-Uri}.
 */
public final class FakeNginx implements AutoCloseable {
    private final NginxReferenceModel model;
    private final ServerSocket server;

    public FakeNginx(NginxReferenceModel model) throws IOException {
        this.model = model;
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Thread acceptThread = new Thread(this::accept, "fake nginx");
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                Thread thread = new Thread(() -> serve(socket), "fake nginx client");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            BufferedReader in =
                    new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
            OutputStream out = socket.getOutputStream();
            for (String requestLine; (requestLine = in.readLine()) != null; ) {
                String host = "";
                for (String line; (line = in.readLine()) != null && !line.isEmpty(); ) {
                    if (line.regionMatches(true, 0, "Host:", 0, 5)) {
                        host = line.substring(5).trim();
                    }
                }
                String[] words = requestLine.split(" ", 0);
                NginxReferenceModel.Answer answer = words.length < 2
                        ? new NginxReferenceModel.Answer(400, null, null, null)
                        : model.respond(model.firstSocket(), words[0], host, words[1]);
                String head = answer.status() != 0
                        ? "HTTP/1.1 " + answer.status() + " by itself\r\n"
                        : "HTTP/1.1 200 OK\r\nX-Pool: " + answer.pool() + "\r\nX-Node: "
                                + (answer.node() == null ? "-" : answer.node()) + "\r\nX-Uri: " + answer.uri() + "\r\n";
                out.write((head + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException gone) {
            // the client has closed the connection
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
