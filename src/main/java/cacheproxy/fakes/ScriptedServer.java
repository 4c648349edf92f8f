package cacheproxy.fakes;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

/** A server on loopback that runs a script for each connection, to simulate faulty peers. */
public final class ScriptedServer implements AutoCloseable {
    /** The script of a connection; the connection is closed when the script ends. */
    public interface Script {
        void run(Connection connection) throws Exception;
    }

    /** An accepted connection with methods that read and write the protocols. */
    public static final class Connection {
        public final Socket socket;
        public final InputStream in;
        public final OutputStream out;
        private final ScriptedServer server;

        /** @param server records what {@link #readCommand} and {@link #readRequest} read; null if neither is called */
        public Connection(Socket socket, ScriptedServer server) throws IOException {
            this.socket = socket;
            this.server = server;
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        /** Reads a line without its terminator; returns null at the end of the stream. */
        public String readLine() throws IOException {
            return ScriptedServer.readLine(in);
        }

        /** Reads the next command of a proxy and records it for the test; returns null at the end of the stream. */
        public String readCommand() throws IOException {
            String line = readLine();
            if (line != null) {
                server.commands.add(line);
            }
            return line;
        }

        /**
         * Reads the next HTTP request and records it for the test; returns its lines and body as one text, or null at
         * the end of the stream.
         */
        public String readRequest() throws IOException {
            StringBuilder text = new StringBuilder();
            int length = 0;
            for (String line; (line = readLine()) != null; ) {
                if (line.isEmpty()) {
                    text.append('\n').append(new String(in.readNBytes(length), StandardCharsets.ISO_8859_1));
                    server.commands.add(text.toString());
                    return text.toString();
                }
                if (line.toLowerCase(Locale.ROOT).startsWith("content-length: ")) {
                    length = Integer.parseInt(line.substring(16));
                }
                text.append(line).append('\n');
            }
            return null;
        }

        public void send(String text) throws IOException {
            out.write(text.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
        }

        public void sendHttp(int status, String headers, String body) throws IOException {
            send("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body);
        }

        /** Closes the connection with a reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }

        /** Waits until the peer closes the connection. */
        public void awaitEnd() throws IOException {
            try {
                while (in.read() >= 0) {
                    // discard
                }
            } catch (IOException e) {
                // a reset also closes the connection
            }
        }
    }

    /** Reads a line without its terminator; returns null at the end of the stream. */
    public static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b; (b = in.read()) != '\n'; ) {
            if (b < 0) {
                return null;
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Returns the id of a command or of a request to the origin. */
    public static String requestId(String command) {
        int start = command.contains("Req-Id: ")
                ? command.indexOf("Req-Id: ") + 8
                : command.toLowerCase(Locale.ROOT).contains("req-id: ")
                        ? command.toLowerCase(Locale.ROOT).indexOf("req-id: ") + 8
                        : command.indexOf(" O") + 2;
        return command.substring(start).split("\\s", 0)[0];
    }

    public final BlockingQueue<String> commands = new LinkedBlockingQueue<>();
    public final BlockingQueue<Connection> accepted = new LinkedBlockingQueue<>();
    private final CopyOnWriteArrayList<Socket> sockets = new CopyOnWriteArrayList<>();
    private final ServerSocket server;

    public ScriptedServer(Script script) throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemonThread(() -> {
            while (true) {
                Socket socket = server.accept();
                sockets.add(socket);
                Connection connection = new Connection(socket, this);
                accepted.add(connection);
                startDaemonThread(() -> {
                    try (socket) {
                        script.run(connection);
                    }
                });
            }
        });
    }

    /** Starts a cache node that answers each command with the result of {@code answer} for the command's line. */
    public static ScriptedServer node(Function<String, String> answer) throws IOException {
        return new ScriptedServer(connection -> {
            for (String line; (line = connection.readCommand()) != null; ) {
                connection.send(answer.apply(line));
            }
        });
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startDaemonThread(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // the connection or the server has been closed
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    public int port() {
        return server.getLocalPort();
    }

    public String dial() {
        return "127.0.0.1:" + port();
    }

    /** Returns the next command that was read on any connection; fails after 20 s without one. */
    public String awaitCommand() throws InterruptedException {
        String command = commands.poll(20, TimeUnit.SECONDS);
        if (command == null) {
            throw new AssertionError("no command received within 20 s");
        }
        return command;
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
