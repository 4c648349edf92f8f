package cacheproxy.proxy;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.function.Predicate;

/**
 * Drives one proxy through a random order of actions of clients, a node and the origin, and checks its behaviour from
 * outside. One thread performs all actions of the peers without blocking: after the event loop has completed a turn,
 * everything that the proxy has written can be read. A seed therefore determines the order, except for the proxy's own
 * timers in between.
 */
final class Explorer implements AutoCloseable {
    private static final int KEYS = 3;
    /** Prints each event of an order, for debugging. */
    private static final boolean TRACE = Boolean.getBoolean("explorer.trace");

    /** One connection to the proxy, from the peer's side. */
    private static class Peer {
        final SocketChannel channel;
        final StringBuilder in = new StringBuilder();
        boolean ended;

        Peer(SocketChannel channel) throws IOException {
            this.channel = channel;
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        }

        void send(String text) {
            try {
                ByteBuffer buffer = ByteBuffer.wrap(text.getBytes(StandardCharsets.ISO_8859_1));
                while (buffer.hasRemaining()) {
                    channel.write(buffer);
                }
            } catch (IOException e) {
                ended = true;
            }
        }

        void read() {
            ByteBuffer buffer = ByteBuffer.allocate(8192);
            try {
                for (int count; !ended && (count = channel.read(buffer)) != 0; buffer.clear()) {
                    ended = count < 0;
                    in.append(new String(buffer.array(), 0, Math.max(0, count), StandardCharsets.ISO_8859_1));
                }
            } catch (IOException e) {
                ended = true;
            }
        }

        /** Removes and returns the next line of the input; null if there is no complete line. */
        String line() {
            int end = in.indexOf("\r\n");
            String line = end < 0 ? null : in.substring(0, end);
            if (end >= 0) {
                in.delete(0, end + 2);
            }
            return line;
        }

        void close(boolean reset) throws IOException {
            if (reset) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
            channel.close();
            ended = true;
        }
    }

    private static final class ClientPeer extends Peer {
        /** Ids of completely sent commands without an answer yet, in order. */
        final ArrayDeque<String> pendingIds = new ArrayDeque<>();
        /** The unsent rest of a command that has been written in part; null if there is none. */
        String unsentPart;

        ClientPeer(SocketChannel channel) throws IOException {
            super(channel);
        }
    }

    private static final class ServerPeer extends Peer {
        final ArrayDeque<String> pendingIds = new ArrayDeque<>();

        ServerPeer(SocketChannel channel) throws IOException {
            super(channel);
        }
    }

    final List<String> violations = new ArrayList<>();
    int commands;
    int answers;
    int departures;
    private final SplittableRandom random;
    /**
     * Whether the origin answers every request with the first request's value, to test that wrong answers are detected.
     */
    private final boolean wrongOriginValues;

    private final ServerSocketChannel nodeListener = ServerSocketChannel.open();
    private final ServerSocketChannel originListener = ServerSocketChannel.open();
    private final List<ServerPeer> nodeConnections = new ArrayList<>();
    private final List<ServerPeer> originConnections = new ArrayList<>();
    private final List<ClientPeer> clients = new ArrayList<>();
    private final Set<String> disconnected = new HashSet<>();
    /**
     * Requests whose client's disconnection the event loop has had the time to process, and of which no attempt can be
     * on its way any more.
     */
    private final Set<String> disconnectProcessed = new HashSet<>();

    private final Set<String> disconnectPending = new HashSet<>();
    private final Set<String> unsafe = new HashSet<>();
    private final Map<String, Integer> writes = new HashMap<>();
    private final Fleet fleet = new Fleet();
    private CountDownLatch held;
    private int next;

    Explorer(long seed, boolean wrongOriginValues) throws Exception {
        random = new SplittableRandom(seed);
        this.wrongOriginValues = wrongOriginValues;
        for (ServerSocketChannel listener : List.of(nodeListener, originListener)) {
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            listener.configureBlocking(false);
        }
        for (int index = 0; index < 3; index++) { // hedged and retried soon, but never late
            fleet.set("classes." + index + ".promise", "400.0");
        }
        fleet.set("caps.connect-timeout", "50.0")
                .set("caps.may-cancel", random.nextBoolean() ? "true" : "false")
                .set("caps.second-copies", random.nextBoolean() ? "true" : "false");
        fleet.hosts.add(Fleet.host("s-00000001", "node-fast", "127.0.0.1:" + port(nodeListener), "up"));
        fleet.hosts.add(Fleet.host("s-0000aaaa", "origin", "127.0.0.1:" + port(originListener), "up"));
        fleet.start();
    }

    private static int port(ServerSocketChannel listener) throws IOException {
        return ((InetSocketAddress) listener.getLocalAddress()).getPort();
    }

    /**
     * Performs this number of random steps, then answers all pending requests and checks that none is left in the
     * proxy.
     */
    void run(int steps) throws Exception {
        for (int i = 0; i < steps; i++) {
            if (held == null && random.nextInt(6) == 0) {
                hold(); // the event loop finds all that is done now at once
                step();
                step();
                step();
                release();
            } else {
                step();
            }
            pump();
        }
        settle();
    }

    private void hold() throws InterruptedException {
        held = fleet.holdEventLoop();
        trace("held");
    }

    private void release() {
        trace("released");
        held.countDown();
        held = null;
    }

    private void step() throws Exception {
        switch (random.nextInt(10)) {
            case 0 -> connect();
            case 1, 2, 3, 4 -> sendRequest();
            case 5 -> disconnect();
            case 6, 7 -> nodeResponds(pickOpen(nodeConnections, peer -> !peer.pendingIds.isEmpty()), random.nextInt(8));
            default ->
                originResponds(pickOpen(originConnections, peer -> !peer.pendingIds.isEmpty()), random.nextInt(8));
        }
    }

    private <P extends Peer> P pickOpen(List<P> peers, Predicate<P> condition) {
        List<P> matching =
                peers.stream().filter(peer -> !peer.ended).filter(condition).toList();
        return matching.isEmpty() ? null : matching.get(random.nextInt(matching.size()));
    }

    private void connect() throws IOException {
        if (clients.stream().filter(client -> !client.ended).count() < 4) {
            clients.add(new ClientPeer(SocketChannel.open(fleet.proxy.address())));
        }
    }

    private void sendRequest() throws IOException {
        ClientPeer client = pickOpen(clients, peer -> true);
        if (client == null) {
            connect();
            return;
        }
        if (client.unsentPart != null) {
            client.send(client.unsentPart);
            client.unsentPart = null;
            return;
        }
        String id = "e" + next++;
        String key = "k" + random.nextInt(KEYS);
        String command = switch (random.nextInt(5)) {
            case 0 -> {
                unsafe.add(id);
                yield "ms " + key + " 5 O" + id + " Pc=fix,d=20000\r\nhello\r\n";
            }
            case 1 -> "ms " + key + " 5 O" + id + " Pc=publish,d=20000,k=" + "%016x".formatted(next) + "\r\nhello\r\n";
            default -> "mg " + key + " v O" + id + " Pc=text,d=20000\r\n";
        };
        commands++;
        client.pendingIds.add(id);
        trace("client " + clients.indexOf(client) + " asks " + command.replace("\r\n", "|"));
        int cut = random.nextInt(4) == 0 ? 1 + random.nextInt(command.length() - 1) : command.length();
        client.send(command.substring(0, cut));
        client.unsentPart = cut < command.length() ? command.substring(cut) : null;
    }

    private void disconnect() throws IOException {
        ClientPeer client = pickOpen(clients, peer -> true);
        if (client != null) {
            departures++;
            trace("client leaves with " + client.pendingIds);
            disconnected.addAll(client.pendingIds);
            client.close(random.nextBoolean());
            clients.remove(client);
        }
    }

    private void nodeResponds(ServerPeer peer, int variant) throws IOException {
        if (peer == null) {
            return;
        }
        String id = peer.pendingIds.peek();
        trace("node " + nodeConnections.indexOf(peer) + " answers " + id + " by way " + variant);
        String hit = "VA " + id.length() + " O" + id + " h1\r\n" + id + "\r\n";
        switch (variant) {
            case 0, 1 -> peer.send(hit);
            case 2, 3 -> peer.send("EN O" + id + " h0\r\n");
            case 4 -> peer.send("SERVER_ERROR busy\r\n");
            case 5 -> {
                peer.send(hit); // the answer and the end of the connection arrive together
                peer.close(false);
            }
            case 6 -> {
                peer.send(hit.substring(0, random.nextInt(hit.length() - 1)));
                peer.close(random.nextBoolean());
            }
            default -> peer.send("garbage\r\n");
        }
        peer.pendingIds.poll();
    }

    private void originResponds(ServerPeer peer, int variant) throws IOException {
        if (peer == null) {
            return;
        }
        String id = peer.pendingIds.poll();
        trace("origin " + originConnections.indexOf(peer) + " answers " + id + " by way " + variant);
        String body = wrongOriginValues ? "e0" : id;
        String response = "HTTP/1.1 200 X\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        switch (variant) {
            case 0, 1, 2 -> peer.send(response);
            case 3 -> {
                peer.send("HTTP/1.1 200 X\r\n\r\n" + body);
                peer.close(false);
            }
            case 4 -> {
                peer.send("HTTP/1.1 200 X\r\n\r\n" + body.substring(0, 1)); // a reset is not the end of a body
                peer.close(true);
            }
            case 5 -> {
                writes.computeIfPresent(id, (k, n) -> n - 1); // it was not processed, and may be sent again
                peer.send("HTTP/1.1 503 X\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
            }
            case 6 -> peer.close(random.nextBoolean());
            default -> peer.send(response + response); // a second answer directly after the first
        }
    }

    private static void trace(String what) {
        if (TRACE) {
            System.out.println(what);
        }
    }

    // ---- the proxy's output

    /** Lets the event loop complete its turns and handles the received bytes. */
    private void pump() throws Exception {
        long live = clients.stream().filter(client -> !client.ended).count();
        for (long until = System.nanoTime() + 5_000_000_000L;
                fleet.proxy.clientCount() != live && System.nanoTime() < until; ) {
            Thread.onSpinWait(); // a close may reach the proxy later than newer events on other connections
        }
        // The number is also as expected if a client has come and another has left, and neither has been noticed.
        for (int i = 0; i < 3; i++) { // an event, the tasks that it schedules, and the writes of those
            awaitPoll();
        }
        accept(nodeListener, nodeConnections);
        accept(originListener, originConnections);
        for (ServerPeer peer : nodeConnections) {
            peer.read();
            for (String line; (line = peer.line()) != null; ) {
                requestArrived(peer, line.substring(line.indexOf(" O") + 2).split(" ", 0)[0], false);
            }
        }
        for (ServerPeer peer : originConnections) {
            peer.read();
            readOriginRequests(peer);
        }
        disconnectProcessed.addAll(disconnectPending); // attempts that were on their way then have been read by now
        disconnectPending.clear();
        disconnectPending.addAll(disconnected);
        for (ClientPeer client : clients) {
            client.read();
            while (readResponse(client)) {
                answers++;
            }
            if (client.ended && !client.pendingIds.isEmpty() && client.unsentPart == null) {
                violations.add("connection ended with " + client.pendingIds + " unanswered");
                client.pendingIds.clear();
            }
        }
    }

    /** Waits until the event loop has polled its sockets and handled what it found: a timer runs after a poll. */
    private void awaitPoll() throws InterruptedException {
        CountDownLatch polled = new CountDownLatch(1);
        fleet.proxy.runAfter(0, polled::countDown);
        polled.await();
    }

    private static void accept(ServerSocketChannel listener, List<ServerPeer> to) throws IOException {
        for (SocketChannel socket; (socket = listener.accept()) != null; ) {
            to.add(new ServerPeer(socket));
        }
    }

    private void readOriginRequests(ServerPeer peer) {
        for (int end; (end = peer.in.indexOf("\r\n\r\n")) >= 0; ) {
            String head = peer.in.substring(0, end);
            boolean put = head.startsWith("PUT");
            int wholeLength = end + 4 + (put ? 5 : 0);
            if (peer.in.length() < wholeLength) {
                return;
            }
            peer.in.delete(0, wholeLength);
            int idStart = head.toLowerCase(Locale.ROOT).indexOf("req-id: ") + 8;
            requestArrived(peer, head.substring(idStart).split("\r\n", 0)[0], put);
        }
    }

    private void requestArrived(ServerPeer peer, String id, boolean write) {
        trace(id + " arrives at "
                + (nodeConnections.contains(peer)
                        ? "node " + nodeConnections.indexOf(peer)
                        : "origin " + originConnections.indexOf(peer)));
        peer.pendingIds.add(id);
        if (disconnectProcessed.contains(id)) {
            violations.add("an attempt for " + id + " begins although its client has disconnected");
        }
        if (write && writes.merge(id, 1, Integer::sum) > 1 && unsafe.contains(id)) {
            violations.add(id + " is written twice");
        }
    }

    private boolean readResponse(ClientPeer client) {
        int end = client.in.indexOf("\r\n");
        if (end < 0) {
            return false;
        }
        String line = client.in.substring(0, end);
        int wholeLength = end + 2;
        String id = client.pendingIds.peek();
        if (id == null) {
            violations.add("an answer without a pending request: " + line);
            client.in.setLength(0);
            return false;
        }
        if (line.startsWith("VA ")) {
            int length = Integer.parseInt(line.split(" ", 0)[1]);
            if (client.in.length() < wholeLength + length + 2) {
                return false;
            }
            String value = client.in.substring(wholeLength, wholeLength + length);
            wholeLength += length + 2;
            if (!line.contains(" O" + id) || !value.equals(id)) {
                violations.add(id + " is answered with " + line + " " + value);
            }
        } else if (line.startsWith("HD ")) {
            if (!line.equals("HD O" + id + " c" + id)) {
                violations.add(id + " is answered with " + line);
            }
        } else if (!line.startsWith("SERVER_ERROR")) {
            violations.add(id + " is answered with " + line);
        }
        client.in.delete(0, wholeLength);
        client.pendingIds.poll();
        return true;
    }

    /** Answers all pending requests correctly, and then checks that none is left. */
    private void settle() throws Exception {
        long until = System.nanoTime() + 30_000_000_000L; // deadlines are 20 s
        while (clients.stream().anyMatch(client -> !client.ended && !client.pendingIds.isEmpty())
                && System.nanoTime() < until) {
            for (ClientPeer client : clients) {
                if (client.unsentPart != null) {
                    client.send(client.unsentPart);
                    client.unsentPart = null;
                }
            }
            for (ServerPeer peer : nodeConnections) {
                while (!peer.ended && !peer.pendingIds.isEmpty()) {
                    nodeResponds(peer, 0);
                }
            }
            for (ServerPeer peer : originConnections) {
                while (!peer.ended && !peer.pendingIds.isEmpty()) {
                    originResponds(peer, 0);
                }
            }
            pump();
        }
        for (ClientPeer client : clients) {
            if (!client.ended && !client.pendingIds.isEmpty()) {
                violations.add("no answer for " + client.pendingIds);
            }
            client.close(false);
        }
        while (fleet.proxy.pendingRequests() > 0 && System.nanoTime() < until) {
            pump();
        }
        if (fleet.proxy.pendingRequests() > 0) {
            violations.add(fleet.proxy.pendingRequests() + " requests are left at the end");
        }
    }

    @Override
    public void close() throws Exception {
        if (held != null) {
            release();
        }
        fleet.close();
        for (ServerPeer peer : nodeConnections) {
            peer.channel.close();
        }
        for (ServerPeer peer : originConnections) {
            peer.channel.close();
        }
        for (ClientPeer client : clients) {
            client.channel.close();
        }
        nodeListener.close();
        originListener.close();
    }
}
