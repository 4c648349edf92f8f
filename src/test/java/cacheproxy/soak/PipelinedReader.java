package cacheproxy.soak;

import cacheproxy.fakes.ScriptedServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * A client that always has a request out on its connection, and often more than a proxy takes at once: it sends the
 * next batch of reads before the last one has its answers. It uses a proxy that has answered {@code mn} with
 * {@code MN}.
 */
final class PipelinedReader implements Runnable {
    /** More than the 32 requests that a proxy takes at once. */
    private static final int BATCH = 60;

    private static final int KEYS = 500;
    private static final String READY_COMMAND = "mn\r\n";
    private static final int REFILL_AT = 20;
    private static final int ANSWER_TIMEOUT_MS = 4000;
    private static final long END_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(25);
    private static final long RECONNECT_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** One read, as its client saw it. */
    static final class Read {
        final String id;
        /** How many bytes had been sent on the connection with it. */
        final long endOffset;

        final long sentNanos;
        volatile long answeredNanos;

        Read(String id, long endOffset, long sentNanos) {
            this.id = id;
            this.endOffset = endOffset;
            this.sentNanos = sentNanos;
        }
    }

    /** One connection, with what was sent on it and how much of that the proxy is known to have read. */
    static final class Connection {
        private record Sample(long atNanos, long readBytes) {}

        final int proxy;
        final List<Read> reads = new CopyOnWriteArrayList<>();
        private final int clientPort;
        private final int proxyPort;
        private final Queue<Sample> samples = new ConcurrentLinkedQueue<>();
        private volatile long sentBytes;
        private volatile boolean ended;
        private long sampledSentBytes;

        Connection(int proxy, int clientPort, int proxyPort) {
            this.proxy = proxy;
            this.clientPort = clientPort;
            this.proxyPort = proxyPort;
        }

        /** To be called before the looks of {@link #endSample}: what is sent meanwhile does not count. */
        void beginSample() {
            sampledSentBytes = sentBytes;
        }

        /** Records how much the proxy has read, by two looks: bytes may move between the queues during one. */
        void endSample(long atNanos, UnreadBytes first, UnreadBytes second) {
            long unread = Math.max(first.of(clientPort, proxyPort), second.of(clientPort, proxyPort));
            boolean whole = first.of(clientPort, proxyPort) >= 0 && second.of(clientPort, proxyPort) >= 0;
            if (whole && !ended) {
                samples.add(new Sample(atNanos, sampledSentBytes - unread));
            }
        }

        /**
         * Returns how many bytes the proxy had read before its side of the connection ended. What it reads right before
         * that end is seen does not count, as it may only be dropped.
         */
        long readBytes() {
            long lastNanos = samples.stream().mapToLong(Sample::atNanos).max().orElse(0);
            return samples.stream()
                    .filter(sample -> sample.atNanos() < lastNanos - END_SLACK_NANOS)
                    .mapToLong(Sample::readBytes)
                    .max()
                    .orElse(0);
        }
    }

    private final String name;
    private final int proxy;
    private final int port;
    private final long endNanos;
    private final Queue<Connection> connections;
    private final Queue<String> errors;
    private int lastNumber;

    PipelinedReader(String name, SoakProxy proxy, long endNanos, Queue<Connection> connections, Queue<String> errors) {
        this.name = name;
        this.proxy = proxy.number;
        port = proxy.port;
        this.endNanos = endNanos;
        this.connections = connections;
        this.errors = errors;
    }

    @Override
    public void run() {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                if (isReady(socket, input)) {
                    use(socket, input);
                }
            } catch (IOException e) {
                // the process has ended, or is about to
            }
            LockSupport.parkNanos(RECONNECT_NANOS);
        }
    }

    /** Returns whether the proxy says that it takes clients. */
    static boolean isReady(Socket socket, InputStream input) throws IOException {
        socket.getOutputStream().write(READY_COMMAND.getBytes(StandardCharsets.ISO_8859_1));
        return "MN".equals(ScriptedServer.readLine(input));
    }

    private void use(Socket socket, InputStream input) throws IOException {
        Connection connection = new Connection(proxy, socket.getLocalPort(), port);
        connection.sentBytes = READY_COMMAND.length();
        connections.add(connection);
        try {
            exchange(socket, input, connection);
        } finally {
            connection.ended = true;
        }
    }

    private void exchange(Socket socket, InputStream input, Connection connection) throws IOException {
        ArrayDeque<Read> unanswered = new ArrayDeque<>();
        do {
            if (unanswered.size() <= REFILL_AT && System.nanoTime() < endNanos) {
                unanswered.addAll(send(socket, connection));
            }
            String line = ScriptedServer.readLine(input);
            if (line == null) {
                return;
            }
            Read read = unanswered.remove();
            read.answeredNanos = System.nanoTime();
            if (line.startsWith("VA ")) {
                ScriptedServer.readLine(input);
            }
            if (!line.equals("VA 5 O" + read.id) && !line.startsWith("SERVER_ERROR")) {
                errors.add("answer: '" + line + "' for " + read.id);
                return;
            }
        } while (!unanswered.isEmpty());
    }

    private List<Read> send(Socket socket, Connection connection) throws IOException {
        StringBuilder commands = new StringBuilder();
        List<Read> reads = new ArrayList<>(BATCH);
        for (int i = 0; i < BATCH; i++) {
            String id = name + ++lastNumber;
            commands.append("mg k")
                    .append(lastNumber % KEYS)
                    .append(" v O")
                    .append(id)
                    .append(" Pc=text,d=900\r\n");
            reads.add(new Read(id, connection.sentBytes + commands.length(), System.nanoTime()));
        }
        connection.reads.addAll(reads);
        socket.getOutputStream().write(commands.toString().getBytes(StandardCharsets.ISO_8859_1));
        connection.sentBytes = reads.get(BATCH - 1).endOffset;
        return reads;
    }
}
