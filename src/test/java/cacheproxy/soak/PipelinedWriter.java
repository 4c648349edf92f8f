package cacheproxy.soak;

import cacheproxy.fakes.ScriptedServer;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/** A client that sends a few unsafe writes at once, and checks that each gets its own receipt or an error. */
final class PipelinedWriter implements Runnable {
    private static final int BATCH = 4;
    private static final int ANSWER_TIMEOUT_MS = 4000;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    private final String name;
    private final int port;
    private final long endNanos;
    private final AtomicInteger stored;
    private final Queue<String> errors;
    private int lastNumber;

    PipelinedWriter(String name, SoakProxy proxy, long endNanos, AtomicInteger stored, Queue<String> errors) {
        this.name = name;
        port = proxy.port;
        this.endNanos = endNanos;
        this.stored = stored;
        this.errors = errors;
    }

    @Override
    public void run() {
        while (System.nanoTime() < endNanos) {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                InputStream input = new BufferedInputStream(socket.getInputStream());
                boolean open = PipelinedReader.isReady(socket, input);
                while (open && System.nanoTime() < endNanos) {
                    open = exchange(socket, input);
                    LockSupport.parkNanos(PAUSE_NANOS);
                }
            } catch (IOException e) {
                // the process has ended, or is about to
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    /** Returns whether the connection can be used further. */
    private boolean exchange(Socket socket, InputStream input) throws IOException {
        int first = lastNumber + 1;
        StringBuilder commands = new StringBuilder();
        for (int i = 0; i < BATCH; i++) {
            commands.append("ms k1 2 O").append(name).append(++lastNumber).append(" Pc=fix,d=900\r\nhi\r\n");
        }
        socket.getOutputStream().write(commands.toString().getBytes(StandardCharsets.ISO_8859_1));
        for (int number = first; number <= lastNumber; number++) {
            String line = ScriptedServer.readLine(input);
            if (line == null) {
                return false;
            }
            String id = name + number;
            if (line.equals("HD O" + id + " cw" + id)) {
                stored.incrementAndGet();
            } else if (!line.startsWith("SERVER_ERROR")) {
                errors.add("receipt: '" + line + "' for " + id);
                return false;
            }
        }
        return true;
    }
}
