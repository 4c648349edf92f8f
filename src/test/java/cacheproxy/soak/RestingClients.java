package cacheproxy.soak;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Clients of one proxy that mostly rest, on one thread: each connection sends at times that are set before, and is read
 * all the while. Records for each command when it was sent and answered, and when the end of its connection was seen.
 */
final class RestingClients implements AutoCloseable {
    /** Connects at most this many connections at once, fewer than a listener's backlog. */
    private static final int CONNECT_BATCH = 100;

    private static final int BUFFER_BYTES = 64 << 10;
    private static final double NANOS_PER_MS = 1e6;
    private static final char LINE_END = '\n';
    /** The value that all hits have, on a line of its own behind the answer's line. */
    static final String VALUE = "hello";

    /** A connection that is established, and what became of it. */
    static final class Connection {
        final int number;
        /** Commands that were sent on it; all count from when their last byte was written. */
        final List<Command> commands = new ArrayList<>();

        private SocketChannel channel;
        private final StringBuilder line = new StringBuilder();
        private int answers;
        /** Whether the proxy refused or reset the connection while it was being established. */
        private boolean refused;

        private boolean ended;
        /** The last time at which the system knew of no end yet; valid once {@link #ended}. */
        private long openNanos;

        Connection(int number) {
            this.number = number;
        }

        private void take(ByteBuffer received) {
            while (received.hasRemaining()) {
                char next = (char) received.get();
                if (next != LINE_END) {
                    line.append(next);
                    continue;
                }
                if (!line.toString().startsWith(VALUE)) {
                    answers++;
                    if (answers <= commands.size()) {
                        commands.get(answers - 1).answered = true;
                    }
                }
                line.setLength(0);
            }
        }

        /** Returns whether the connection has not ended. */
        boolean isOpen() {
            return !ended && !refused;
        }
    }

    /** A command, as its client saw it. */
    static final class Command {
        final String text;
        long sentNanos;
        boolean answered;

        Command(String text) {
            this.text = text;
        }
    }

    private record Action(long atNanos, Connection connection, Command command, boolean connect) {}

    private final int port;
    private final Selector selector = Selector.open();
    private final ByteBuffer buffer = ByteBuffer.allocateDirect(BUFFER_BYTES);
    private final List<Connection> connections = new ArrayList<>();
    private final PriorityQueue<Action> actions = new PriorityQueue<>(Comparator.comparingLong(Action::atNanos));

    RestingClients(int port) throws IOException {
        this.port = port;
    }

    List<Connection> connections() {
        return connections;
    }

    /** Adds a connection that is not established. */
    Connection add() {
        Connection connection = new Connection(connections.size());
        connections.add(connection);
        return connection;
    }

    /** Establishes connections, each with an answered {@code mn}. */
    void connect(int count) throws IOException {
        for (int done = 0; done < count; ) {
            int batch = Math.min(CONNECT_BATCH, count - done);
            List<Connection> added = new ArrayList<>();
            for (int i = 0; i < batch; i++) {
                Connection connection = add();
                added.add(connection);
                open(connection);
                send(connection, new Command("mn"));
            }
            long limitNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(10);
            while (added.stream().anyMatch(connection -> connection.isOpen() && connection.answers == 0)) {
                if (System.nanoTime() > limitNanos) {
                    throw new IOException("a connection has no answer");
                }
                poll();
            }
            done += batch;
        }
        connections.forEach(connection -> connection.commands.clear());
        connections.forEach(connection -> connection.answers = 0);
    }

    /** Sends a command at this time, unless the connection has ended by then. */
    void sendAt(long atNanos, Connection connection, String text) {
        actions.add(new Action(atNanos, connection, new Command(text), false));
    }

    /** Establishes the connection at this time and sends a command at once. */
    void connectAt(long atNanos, Connection connection, String text) {
        actions.add(new Action(atNanos, connection, new Command(text), true));
    }

    /** Carries out the actions, and reads until this time or until all connections have ended. */
    void play(long untilNanos) throws IOException {
        while (System.nanoTime() < untilNanos
                && (!actions.isEmpty() || connections.stream().anyMatch(Connection::isOpen))) {
            poll();
            while (!actions.isEmpty() && actions.peek().atNanos() <= System.nanoTime()) {
                act(actions.poll());
            }
            LockSupport.parkNanos(100_000);
        }
    }

    private void act(Action action) throws IOException {
        Connection connection = action.connection();
        if (action.connect()) {
            open(connection);
        }
        if (connection.channel != null && connection.isOpen()) {
            send(connection, action.command());
        }
    }

    private void open(Connection connection) throws IOException {
        connection.channel = SocketChannel.open();
        connection.channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        try {
            connection.channel.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        } catch (IOException e) {
            connection.refused = true; // the machine has not accepted it, so that nothing is owed
            connection.channel.close();
            return;
        }
        connection.channel.configureBlocking(false);
        connection.channel.register(selector, SelectionKey.OP_READ, connection);
    }

    private static void send(Connection connection, Command command) {
        try {
            connection.channel.write(ByteBuffer.wrap((command.text + "\r\n").getBytes(ISO_8859_1)));
            command.sentNanos = System.nanoTime();
            connection.commands.add(command);
        } catch (IOException e) {
            // the connection has ended, so that nothing was sent; the next poll sees the end
        }
    }

    private long lastPollNanos = System.nanoTime();

    /** Reads what has arrived. An end that is seen now came after the poll before. */
    private void poll() throws IOException {
        long beginNanos = System.nanoTime();
        selector.selectNow();
        for (SelectionKey key : selector.selectedKeys()) {
            Connection connection = (Connection) key.attachment();
            if (!read(connection)) {
                connection.ended = true;
                connection.openNanos = lastPollNanos;
                key.cancel();
                connection.channel.close();
            }
        }
        selector.selectedKeys().clear();
        lastPollNanos = beginNanos;
    }

    /** Returns whether the connection is still open. */
    private boolean read(Connection connection) {
        try {
            while (true) {
                buffer.clear();
                int count = connection.channel.read(buffer);
                if (count <= 0) {
                    return count == 0;
                }
                buffer.flip();
                connection.take(buffer);
            }
        } catch (IOException e) {
            return false;
        }
    }

    /** The commands without an answer whose connection ended, by how long before that end they had been sent, in ms. */
    List<Double> unansweredAgesMs() {
        List<Double> ages = new ArrayList<>();
        for (Connection connection : connections) {
            for (Command command : connection.commands) {
                if (connection.ended && !command.answered) {
                    ages.add((connection.openNanos - command.sentNanos) / NANOS_PER_MS);
                }
            }
        }
        return ages;
    }

    /** The commands without an answer on connections that have not ended. */
    long pendingCommands() {
        return connections.stream()
                .filter(connection -> !connection.ended)
                .flatMap(connection -> connection.commands.stream())
                .filter(command -> !command.answered)
                .count();
    }

    /** The number of commands that were sent. */
    long sentCommands() {
        return connections.stream()
                .mapToLong(connection -> connection.commands.size())
                .sum();
    }

    @Override
    public void close() throws IOException {
        for (Connection connection : connections) {
            if (connection.channel != null) {
                connection.channel.close();
            }
        }
        selector.close();
    }
}
