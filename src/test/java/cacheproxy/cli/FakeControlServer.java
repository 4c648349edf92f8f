package cacheproxy.cli;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A control address that sends the same response to each call and records the request lines. */
final class FakeControlServer implements AutoCloseable {
    private final ServerSocket socket;
    private final String response;
    private final List<String> requestLines = new CopyOnWriteArrayList<>();
    private final Thread thread = new Thread(this::serve, "control");

    FakeControlServer(String response) throws IOException {
        this.response = response;
        socket = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
        thread.start();
    }

    static FakeControlServer responding(int status, String body) throws IOException {
        return new FakeControlServer("HTTP/1.1 " + status + " status\r\nServer: fake\r\n\r\n" + body);
    }

    String address() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    List<String> requestLines() {
        return requestLines;
    }

    private void serve() {
        while (!socket.isClosed()) {
            try (Socket connection = socket.accept()) {
                BufferedReader reader = new BufferedReader(
                        new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
                String line = reader.readLine();
                requestLines.add(line);
                while (line != null && !line.isEmpty()) {
                    line = reader.readLine();
                }
                connection.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
            } catch (IOException e) {
                // The client is gone, or the server is closed.
            }
        }
    }

    @Override
    public void close() throws Exception {
        socket.close();
        thread.join();
    }
}
