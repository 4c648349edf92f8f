package cacheproxy.cli;

import cacheproxy.config.Addresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A blocking HTTP client of a running proxy's control address. It opens a connection for each call. */
final class ControlClient {
    private static final int TIMEOUT_MS = 3000;
    private static final int STATUS_OK = 200;
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 ([0-9]{3})\\b");
    private static final String HEADERS_END = "\r\n\r\n";

    private final String control;

    /** Creates a client of the control address {@code control}, as {@code host:port}. */
    ControlClient(String control) {
        this.control = control;
    }

    private record Response(int status, String text) {}

    /**
     * Calls the proxy. Waits up to 3 s to connect, and up to 3 s for each read of the response.
     *
     * @param path the path with its query, as it is sent
     * @return the response's body, stripped
     * @throws ControlCallException if there is no valid response, or one with a status other than 200
     */
    String call(String method, String path) throws ControlCallException {
        Response response;
        try {
            response = parse(exchange(method, path));
        } catch (IOException | IllegalArgumentException e) {
            throw ControlCallException.unreachable(control, e);
        }
        if (response.status != STATUS_OK) {
            throw ControlCallException.rejected(control, response.text);
        }
        return response.text;
    }

    private String exchange(String method, String path) throws IOException {
        InetSocketAddress address = Addresses.parse(control);
        String request = method + " " + path + " HTTP/1.1\r\nHost: " + control + "\r\nContent-Length: 0\r\n\r\n";
        try (Socket socket = new Socket()) {
            socket.connect(address, TIMEOUT_MS);
            socket.setSoTimeout(TIMEOUT_MS);
            socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
            return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        }
    }

    private static Response parse(String received) throws IOException {
        int headersEnd = received.indexOf(HEADERS_END);
        Matcher statusLine = STATUS_LINE.matcher(received);
        if (!statusLine.lookingAt() || headersEnd < 0) {
            throw new IOException("no valid HTTP response");
        }
        int status = Integer.parseInt(statusLine.group(1));
        return new Response(
                status, received.substring(headersEnd + HEADERS_END.length()).strip());
    }
}
