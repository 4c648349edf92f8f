import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/** Nodes turn requests away when their queue is full, some of them twice. Does a request run twice that must not? */
final class SecondRefusal {
    private static final int NODES = 4;
    private static final int CLIENTS = 60;
    private static final double RUN_MS = 30_000;
    private static final double WORK_MS = 10;
    private static final int QUEUE = 3;
    private static final int COPY_AFTER_MS = 7;
    private static final double ONE_WAY_MS = 2;
    private static final int ONE_IN = 5;

    private final Rig rig;
    private final Map<String, List<String>> runs = new ConcurrentHashMap<>();
    private final Map<String, String> answers = new ConcurrentHashMap<>();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();

    private SecondRefusal(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new SecondRefusal(rig).run());
    }

    private boolean run() throws Exception {
        Rig.Config config = new Rig.Config().siteClasses("fragile");
        for (int i = 0; i < NODES; i++) {
            Node node = new Node("node" + i);
            Rig.Server server = rig.owns(rig.new Server(node::handle));
            config.node("s-0000000" + (i + 1), rig.new DelayingRelay(server.port(), ONE_WAY_MS).port());
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
        Rig.sleep(1500);
        int twice = 0;
        int refusedAndRun = 0;
        for (Map.Entry<String, List<String>> run : runs.entrySet()) {
            String answer = answers.get(run.getKey());
            if (run.getValue().size() > 1) {
                twice++;
                rig.log("RUN TWICE " + run.getKey() + " " + run.getValue() + ", answered " + answer);
            } else if (answer != null && answer.startsWith("SERVER_ERROR busy")) {
                refusedAndRun++;
                rig.log("REFUSED AND RUN " + run.getKey() + " " + run.getValue() + ", answered " + answer);
            }
        }
        String summary = "answers served=" + served + " refused=" + refused + " failed=" + failed + " second_refusals="
                + copies + " run_twice=" + twice + " refused_and_run=" + refusedAndRun;
        rig.log(summary);
        System.out.println(summary);
        if (served.get() < 500) {
            throw new Rig.CannotRun("only " + served + " requests were served");
        }
        return twice == 0 && refusedAndRun == 0;
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
                answers.put(id, answer);
                if (answer.startsWith("VA ")) {
                    client.line();
                    served.incrementAndGet();
                } else if (answer.startsWith("SERVER_ERROR busy")) {
                    refused.incrementAndGet();
                    String[] words = answer.split(" ");
                    Rig.sleep(words.length > 2 ? Integer.parseInt(words[2]) : 50);
                } else {
                    failed.incrementAndGet();
                }
                Rig.sleep(random.nextInt(100));
            }
        }
    }

    private void ran(String id, String server) {
        runs.computeIfAbsent(id, key -> new CopyOnWriteArrayList<>()).add(server + " at " + Math.round(rig.nowMs()));
    }

    private void origin(Socket socket, InputStream in, OutputStream out) throws Exception {
        for (Rig.HttpRequest request; (request = Rig.httpRequest(in)) != null; ) {
            ran(request.headers().get("Req-Id"), "origin");
            Rig.sleep(100);
            out.write(Rig.httpOk(Rig.ascii("hello")));
            out.flush();
        }
    }

    /** A node with one core and a short queue. */
    private final class Node {
        private final String name;
        private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();

        Node(String name) {
            this.name = name;
            Rig.daemon(() -> {
                while (true) {
                    queue.take().run();
                }
            });
        }

        void handle(Socket socket, InputStream in, OutputStream out) throws Exception {
            Random random = new Random(socket.getPort());
            AtomicInteger waiting = new AtomicInteger();
            for (String line; (line = Rig.line(in)) != null; ) {
                if (line.equals("mn")) {
                    write(out, "MN\r\n");
                    continue;
                }
                String id = Rig.flag(line, 'O');
                if (waiting.get() == 0 && queue.size() >= QUEUE) {
                    write(out, "SERVER_ERROR busy\r\n");
                    if (rig.trouble && random.nextInt(ONE_IN) == 0) {
                        Rig.sleep(COPY_AFTER_MS);
                        if (in.available() == 0) { // nothing else waits, and what was sent before the first answer came has arrived
                            rig.log(name + " refuses " + id + " a second time");
                            write(out, "SERVER_ERROR busy\r\n");
                            copies.incrementAndGet();
                        }
                    }
                    continue;
                }
                waiting.incrementAndGet();
                queue.add(() -> {
                    ran(id, name);
                    Rig.sleep(WORK_MS);
                    write(out, "VA 5 O" + id + " h1\r\nhello\r\n");
                    waiting.decrementAndGet();
                });
            }
        }

        private void write(OutputStream out, String text) {
            try {
                synchronized (out) {
                    out.write(Rig.ascii(text));
                    out.flush();
                }
            } catch (IOException e) {
                // the connection has ended
            }
        }
    }
}
