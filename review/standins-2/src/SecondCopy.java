import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Nodes stand still for a moment every few seconds, where the settings allow no second copies. Is a request ever out at
 * two servers at once?
 */
final class SecondCopy {
    private static final int NODES = 8;
    private static final int CLIENTS = 90;
    private static final double RUN_MS = 30_000;
    private static final double WORK_MS = 4;
    private static final double STALL_MS = 150;
    private static final double STALL_EVERY_MS = 2500;
    /** How long an earlier attempt's connection has to stay open after the further attempt has come. */
    private static final double CLOSE_SLACK_MS = 25;

    /** An attempt that has come whole and has not been answered. */
    private static final class Attempt {
        final String id;
        final String server;
        final double cameMs;
        volatile double answeredMs = Double.POSITIVE_INFINITY;
        volatile double closedMs = Double.POSITIVE_INFINITY;

        Attempt(String id, String server, double cameMs) {
            this.id = id;
            this.server = server;
            this.cameMs = cameMs;
        }
    }

    private final Rig rig;
    private final Map<String, List<Attempt>> attempts = new ConcurrentHashMap<>();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    private SecondCopy(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new SecondCopy(rig).run());
    }

    private boolean run() throws Exception {
        Rig.Config config = new Rig.Config().siteClasses();
        config.caps.put("second-copies", "false");
        for (int i = 0; i < NODES; i++) {
            Node node = new Node("node" + i, i);
            config.node("s-0000000" + (i + 1), rig.owns(rig.new Server(node::handle)).port());
        }
        config.origin(rig.owns(rig.new Server(this::origin)).port());
        rig.new Discovery(config);
        config.listenPort = Rig.freePort();
        rig.start(config, "n0");
        double endMs = rig.nowMs() + RUN_MS;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Rig.daemon(() -> client(config.listenPort, number, endMs));
        }
        for (Thread client : clients) {
            client.join();
        }
        Rig.sleep(1000);
        int copies = 0;
        int further = 0;
        for (List<Attempt> ofRequest : attempts.values()) {
            for (int later = 1; later < ofRequest.size(); later++) {
                further++;
                for (int earlier = 0; earlier < later; earlier++) {
                    copies += judge(ofRequest.get(earlier), ofRequest.get(later)) ? 1 : 0;
                }
            }
        }
        String summary = "requests=" + attempts.size() + " served=" + served + " refused=" + refused + " failed=" + failed
                + " further_attempts=" + further + " second_copies=" + copies;
        rig.log(summary);
        System.out.println(summary);
        if (served.get() < 1000) {
            throw new Rig.CannotRun("only " + served + " requests were served");
        }
        return copies == 0;
    }

    /** Whether the later attempt came while the earlier one was out on an open connection. */
    private boolean judge(Attempt earlier, Attempt later) {
        boolean copy = earlier.answeredMs > later.cameMs && earlier.closedMs > later.cameMs + CLOSE_SLACK_MS;
        if (copy) {
            rig.log("SECOND COPY of " + later.id + " at " + later.server + ", came " + at(later.cameMs) + "; the first at "
                    + earlier.server + ", came " + at(earlier.cameMs) + ", answered " + at(earlier.answeredMs)
                    + ", its connection closed " + at(earlier.closedMs));
        }
        return copy;
    }

    private static String at(double ms) {
        return ms == Double.POSITIVE_INFINITY ? "never" : "%.1f".formatted(ms);
    }

    private void client(int port, int number, double endMs) throws Exception {
        Random random = new Random(number);
        try (Rig.Client client = new Rig.Client(port, 5000)) {
            for (int i = 0; rig.nowMs() < endMs; i++) {
                String id = "%04x%08x".formatted(number, i);
                client.send("mg %016x v O%s Pc=seg-text,d=800\r\n".formatted(random.nextLong(), id));
                String answer = client.line();
                if (answer == null) {
                    return;
                }
                if (answer.startsWith("VA ")) {
                    client.line();
                    served.incrementAndGet();
                } else {
                    (answer.startsWith("SERVER_ERROR busy") ? refused : failed).incrementAndGet();
                }
                Rig.sleep(random.nextInt(200));
            }
        }
    }

    private Attempt came(String id, String server) {
        Attempt attempt = new Attempt(id, server, rig.nowMs());
        attempts.computeIfAbsent(id, key -> java.util.Collections.synchronizedList(new ArrayList<>())).add(attempt);
        return attempt;
    }

    private void origin(Socket socket, InputStream in, OutputStream out) throws Exception {
        for (Rig.HttpRequest request; (request = Rig.httpRequest(in)) != null; ) {
            Attempt attempt = came(request.headers().get("Req-Id"), "origin");
            Rig.sleep(60);
            attempt.answeredMs = rig.nowMs();
            out.write(Rig.httpOk(Rig.ascii("hello")));
            out.flush();
        }
    }

    /** A node with one core: takes a fixed time for each command, in the order of arrival, and stands still at times. */
    private final class Node {
        private final String name;
        private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();

        Node(String name, int index) {
            this.name = name;
            boolean stalls = rig.trouble && index < 3; // 3 of 8
            Rig.daemon(() -> {
                double nextStallMs = rig.nowMs() + 4000;
                while (true) {
                    Runnable command = queue.take();
                    if (stalls && rig.nowMs() >= nextStallMs) {
                        rig.log(name + " stands still for " + STALL_MS + " ms");
                        Rig.sleep(STALL_MS);
                        nextStallMs = rig.nowMs() + STALL_EVERY_MS;
                    }
                    Rig.sleep(WORK_MS);
                    command.run();
                }
            });
        }

        void handle(Socket socket, InputStream in, OutputStream out) throws Exception {
            List<Attempt> open = java.util.Collections.synchronizedList(new ArrayList<>());
            try {
                for (String line; (line = Rig.line(in)) != null; ) {
                    if (line.equals("mn")) {
                        queue.add(() -> write(out, "MN\r\n"));
                        continue;
                    }
                    String id = Rig.flag(line, 'O');
                    Attempt attempt = came(id, name);
                    open.add(attempt);
                    queue.add(() -> {
                        open.remove(attempt);
                        if (attempt.closedMs == Double.POSITIVE_INFINITY) {
                            attempt.answeredMs = rig.nowMs();
                            write(out, "VA 5 O" + id + " h1\r\nhello\r\n");
                        }
                    });
                }
            } finally {
                double nowMs = rig.nowMs();
                synchronized (open) {
                    open.forEach(attempt -> attempt.closedMs = nowMs);
                }
            }
        }

        private void write(OutputStream out, String text) {
            try {
                synchronized (out) {
                    out.write(Rig.ascii(text));
                    out.flush();
                }
            } catch (java.io.IOException e) {
                // the connection has ended
            }
        }
    }
}
