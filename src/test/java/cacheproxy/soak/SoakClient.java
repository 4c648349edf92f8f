package cacheproxy.soak;

import cacheproxy.fakes.ScriptedServer;
import cacheproxy.soak.SoakHistory.Effect;
import cacheproxy.soak.SoakHistory.Request;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.locks.LockSupport;

/**
 * A client of one proxy. Most of its requests are regular; some are pipelined, sent in pieces, abandoned before the
 * answer, or left incomplete.
 */
final class SoakClient implements Runnable {
    private static final int MIN_DEADLINE_MS = 150;
    private static final int MAX_DEADLINE_MS = 900;
    private static final int ANSWER_TIMEOUT_MS = 2500;
    /**
     * The time within which the proxy must close a connection with an incomplete command: 3 s, and a margin for a busy
     * machine.
     */
    private static final int MIDWAY_TIMEOUT_MS = 6000;

    private final String name;
    private final int proxy;
    private final int port;
    private final SoakHistory history;
    private final Random random;
    private final long endNanos;
    private final boolean retriesAtOnce;
    private int requestCount;
    /** Whether the last answer was a rejection. */
    private boolean rejected;
    /** When the current connection had been established. */
    private long connectedNanos;

    SoakClient(String name, int proxy, int port, SoakHistory history, long seed, long endNanos, boolean retriesAtOnce) {
        this.retriesAtOnce = retriesAtOnce;
        this.name = name;
        this.proxy = proxy;
        this.port = port;
        this.history = history;
        this.random = new Random(seed);
        this.endNanos = endNanos;
    }

    @Override
    public void run() {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = connect()) {
                socket.setTcpNoDelay(true);
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                useConnection(socket);
            } catch (IOException e) {
                pause(20); // the proxy is not running
            }
        }
    }

    /** Sends one request on a new connection; records an error that names {@code what} if the connection fails. */
    void requestOnce(String what) {
        try (Socket socket = connect()) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(ANSWER_TIMEOUT_MS);
            List<Request> sent = send(socket, 1, false);
            if (!readAnswer(new BufferedInputStream(socket.getInputStream()), sent.get(0))) {
                recordCut(sent);
            }
        } catch (IOException e) {
            history.errors.add("refused: n" + proxy + ", " + what + ": " + e.getMessage());
        }
    }

    private Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        connectedNanos = System.nanoTime();
        return socket;
    }

    private void useConnection(Socket socket) throws IOException {
        InputStream in = new BufferedInputStream(socket.getInputStream());
        for (int i = 1 + random.nextInt(30); i > 0 && System.nanoTime() < endNanos; i--) {
            int behaviour = random.nextInt(100);
            if (behaviour < 1) {
                stopMidway(socket, in);
                return;
            }
            List<Request> sent =
                    send(socket, behaviour < 12 ? 2 + random.nextInt(3) : 1, behaviour >= 12 && behaviour < 18);
            if (behaviour >= 90) {
                closeBeforeAnswer(socket, sent);
                return;
            }
            for (Request request : sent) {
                if (!readAnswer(in, request)) {
                    recordCut(sent);
                    return;
                }
            }
            int pauseMs = random.nextInt(25);
            if (!(retriesAtOnce && rejected)) {
                pause(pauseMs);
            }
        }
    }

    private List<Request> send(Socket socket, int count, boolean inPieces) throws IOException {
        List<Request> batch = new ArrayList<>();
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < count; i++) {
            boolean write = random.nextInt(10) == 0;
            String id = name + "x" + ++requestCount;
            int deadlineMs = MIN_DEADLINE_MS + random.nextInt(MAX_DEADLINE_MS - MIN_DEADLINE_MS);
            batch.add(new Request(id, proxy, write ? Effect.SINGLE : Effect.SAFE, deadlineMs));
            String key = "k" + random.nextInt(500);
            text.append(
                    write
                            ? "ms " + key + " 2 O" + id + " Pc=fix,d=" + deadlineMs + "\r\nhi\r\n"
                            : "mg " + key + " v O" + id + " Pc=text,d=" + deadlineMs + "\r\n");
        }
        long writeStart = System.nanoTime();
        int longestMs = 0;
        for (Request request : batch) {
            longestMs = Math.max(longestMs, request.deadlineMs);
            request.orderedDeadlineMs = longestMs;
            request.writeStartNanos = writeStart;
            request.connectedNanos = connectedNanos;
            history.requests.put(request.id, request);
        }
        byte[] bytes = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        int first = inPieces ? 1 + random.nextInt(bytes.length - 1) : 0;
        socket.getOutputStream().write(bytes, 0, first);
        if (inPieces) {
            pause(random.nextInt(60));
        }
        socket.getOutputStream().write(bytes, first, bytes.length - first);
        long sent = System.nanoTime();
        batch.forEach(request -> request.sentNanos = sent);
        return batch;
    }

    /** Closes or resets the connection before the answer, up to 120 ms after the request was sent. */
    private void closeBeforeAnswer(Socket socket, List<Request> sent) throws IOException {
        pause(random.nextInt(120));
        if (random.nextBoolean()) {
            socket.setSoLinger(true, 0);
        }
        long closing = System.nanoTime();
        socket.close();
        sent.forEach(request -> request.closedNanos = closing);
    }

    private void stopMidway(Socket socket, InputStream in) throws IOException {
        socket.getOutputStream().write("mg k1 v Oha".getBytes(StandardCharsets.ISO_8859_1));
        socket.setSoTimeout(MIDWAY_TIMEOUT_MS);
        try {
            while (in.read() >= 0) {
                // an error line may precede the close
            }
        } catch (SocketTimeoutException e) {
            history.errors.add("stopped midway: n" + proxy + " has not closed within " + MIDWAY_TIMEOUT_MS + " ms");
        } catch (IOException e) {
            // a reset also closes the connection
        }
    }

    /** Reads an answer; returns false if the connection ended or timed out. */
    private boolean readAnswer(InputStream in, Request request) {
        try {
            String line = ScriptedServer.readLine(in);
            if (line == null) {
                return false;
            }
            if (line.startsWith("VA ")) {
                in.skipNBytes(Integer.parseInt(line.split(" ", 0)[1]) + 2);
            }
            request.answeredNanos = System.nanoTime();
            rejected = line.startsWith("SERVER_ERROR busy");
            boolean own = line.contains("O" + request.id) || line.startsWith("SERVER_ERROR");
            if (!own) {
                history.errors.add("answer: '" + line + "' for " + request.id + " of n" + proxy);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private static void recordCut(List<Request> sent) {
        long now = System.nanoTime();
        for (Request request : sent) {
            if (request.answeredNanos == 0) {
                request.cutNanos = now;
            }
        }
    }

    private static void pause(int ms) {
        LockSupport.parkNanos(ms * 1_000_000L);
    }
}
