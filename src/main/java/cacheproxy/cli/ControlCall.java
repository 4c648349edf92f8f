package cacheproxy.cli;

import cacheproxy.config.Addresses;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** Calls of a running proxy's control address. */
final class ControlCall {
    private static final int PATIENCE_MS = 3000;

    /** @param code the status of HTTP */
    record Answer(int code, String text) {}

    private final String control;
    private final PrintWriter err;

    ControlCall(String control, PrintWriter err) {
        this.control = control;
        this.err = err;
    }

    /** Null after it has been told why nothing came. */
    Answer ask(String method, String path) {
        try {
            InetSocketAddress to = Addresses.parse(control);
            try (Socket s = new Socket()) {
                s.connect(to, PATIENCE_MS);
                s.setSoTimeout(PATIENCE_MS);
                s.getOutputStream()
                        .write((method + " " + path + " HTTP/1.1\r\nHost: " + control + "\r\nContent-Length: 0\r\n\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                String text = new String(s.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                int body = text.indexOf("\r\n\r\n");
                if (!text.startsWith("HTTP/1.1 ") || body < 0) {
                    throw new IOException("no answer in HTTP");
                }
                return new Answer(
                        Integer.parseInt(text.substring(9, 12)),
                        text.substring(body + 4).strip());
            }
        } catch (IOException | IllegalArgumentException e) {
            err.println(control + ": " + e.getMessage());
            return null;
        }
    }

    /** The exit code of a command whose call was refused, or did not come through (null). */
    int no(Answer a) {
        if (a != null) {
            err.println(control + ": " + a.text);
        }
        return a == null ? Cli.UNUSABLE : 1;
    }
}
