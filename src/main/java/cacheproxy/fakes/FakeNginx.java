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
 * An HTTP server on loopback that answers each request with the node that {@link NginxReferenceModel} says it goes to,
 * instead of asking that node: headers {@code X-Pool}, {@code X-SimulatedServer} ({@code -} where any of the pool) and
 * {@code X-Uri}.
 */
public final class FakeNginx implements AutoCloseable {
    private final NginxReferenceModel model;
    private final ServerSocket server;

    public FakeNginx(NginxReferenceModel model) throws IOException {
        this.model = model;
        server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
        Thread t = new Thread(this::accept, "stand-in nginx");
        t.setDaemon(true);
        t.start();
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) server.getLocalSocketAddress();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket s = server.accept();
                Thread t = new Thread(() -> serve(s), "stand-in nginx client");
                t.setDaemon(true);
                t.start();
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
            for (String first; (first = in.readLine()) != null; ) {
                String host = "";
                for (String line; (line = in.readLine()) != null && !line.isEmpty(); ) {
                    if (line.regionMatches(true, 0, "Host:", 0, 5)) {
                        host = line.substring(5).trim();
                    }
                }
                String[] words = first.split(" ", 0);
                NginxReferenceModel.Answer a = words.length < 2
                        ? new NginxReferenceModel.Answer(400, null, null, null)
                        : model.ask(model.firstSocket(), words[0], host, words[1]);
                String head = a.status() != 0
                        ? "HTTP/1.1 " + a.status() + " by itself\r\n"
                        : "HTTP/1.1 200 OK\r\nX-Pool: " + a.pool() + "\r\nX-Node: "
                                + (a.node() == null ? "-" : a.node()) + "\r\nX-Uri: " + a.uri() + "\r\n";
                out.write((head + "Content-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
                out.flush();
            }
        } catch (IOException gone) {
            // the client's business
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
