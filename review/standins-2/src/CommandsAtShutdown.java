import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.LinkedBlockingQueue;

/** Clients have many commands out on a connection, again and again, while the proxy is restarted. Is each answered? */
final class CommandsAtShutdown {
    private static final int NODES = 4;
    private static final int CLIENTS = 4;
    private static final int COMMANDS_OUT = 80;
    private static final double MIN_NODE_MS = 100;
    private static final double MAX_NODE_MS = 200;
    private static final double QUIET_MS = 3000;
    /** SIGKILL comes no sooner than the longest deadline and 0.7 s after SIGTERM. */
    private static final double KILL_AFTER_MS = 1000 + 700;
    /** What the proxy reads this shortly before its end of the connection comes does not count as read. */
    private static final double END_SLACK_MS = 25;

    private static final String ESTABLISHED = "01";
    private static final long UNKNOWN = Long.MAX_VALUE / 2;

    private final Rig rig;
    private volatile boolean stop;

    private CommandsAtShutdown(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new CommandsAtShutdown(rig).run());
    }

    private boolean run() throws Exception {
        Rig.Config config = new Rig.Config().siteClasses();
        for (int i = 0; i < NODES; i++) {
            config.node("s-0000000" + (i + 1), rig.owns(rig.new Server(this::node)).port());
        }
        config.origin(rig.owns(rig.new Server((socket, in, out) -> {
            while (Rig.httpRequest(in) != null) {
                Rig.sleep(120);
                out.write(Rig.httpOk(Rig.ascii("hello")));
            }
        })).port());
        rig.new Discovery(config);
        config.listenPort = Rig.freePort();
        Rig.Proxy proxy = rig.start(config, "n0");
        List<Pipeline> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            clients.add(new Pipeline(i, config.listenPort));
        }
        Rig.sleep(QUIET_MS);
        if (rig.trouble) {
            proxy.signal("TERM");
        } else {
            stop = true;
        }
        for (double end = rig.nowMs() + KILL_AFTER_MS; rig.nowMs() < end && clients.stream().anyMatch(Pipeline::isOwed); ) {
            Rig.sleep(5);
        }
        int sent = 0;
        int answered = 0;
        int served = 0;
        int lost = 0;
        for (Pipeline client : clients) {
            sent += client.endOf.size();
            answered += client.answered;
            served += client.served;
            lost += client.judge();
            client.client.close();
        }
        String summary = "commands=" + sent + " answered=" + answered + " served=" + served + " read_and_never_answered=" + lost;
        rig.log(summary);
        System.out.println(summary);
        if (served < 1000) {
            throw new Rig.CannotRun("only " + served + " commands were served");
        }
        return lost == 0;
    }

    /** A client that sends a further command for each answer. */
    private final class Pipeline {
        private final int number;
        private final int proxyPort;
        private final Rig.Client client;
        private final Random random;
        /** By the number of the command: how many bytes had been sent with it. */
        private final List<Long> endOf = new ArrayList<>();
        /** When it was looked while the connection was whole, and how many bytes the proxy had read by then. */
        private final List<double[]> samples = new ArrayList<>();
        private long bytesSent;
        private volatile int answered;
        private volatile int served;
        private volatile double endMs = Double.POSITIVE_INFINITY;

        Pipeline(int number, int proxyPort) throws IOException {
            this.number = number;
            this.proxyPort = proxyPort;
            client = rig.owns(new Rig.Client(proxyPort, 10_000));
            random = new Random(number);
            send(COMMANDS_OUT);
            Rig.daemon(this::read);
            Rig.daemon(() -> {
                while (endMs == Double.POSITIVE_INFINITY) {
                    sample();
                    Rig.sleep(4);
                }
            });
        }

        private synchronized void send(int count) throws IOException {
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < count; i++) {
                commands.append("mg %016x v Oc%02x%06d Pc=seg-text,d=800\r\n".formatted(random.nextLong(), number, endOf.size()));
                endOf.add(bytesSent + commands.length());
            }
            client.send(commands.toString());
            bytesSent += commands.length();
        }

        private void read() {
            try {
                for (String line; (line = client.line()) != null; ) {
                    if (line.startsWith("VA ")) {
                        client.line();
                        served++;
                    }
                    answered++;
                    if (!stop) {
                        send(1);
                    }
                }
            } catch (IOException e) {
                rig.log("client " + number + ": " + e);
            }
            endMs = rig.nowMs();
            rig.log("client " + number + ": its connection has ended, answered=" + answered);
        }

        private synchronized void sample() throws IOException {
            double nowMs = rig.nowMs();
            // Bytes may move from one queue to the other between two lines of the table, so the larger of two looks counts.
            long unread = Math.max(
                    unread(proxyPort, client.socket.getLocalPort()), unread(proxyPort, client.socket.getLocalPort()));
            if (unread < UNKNOWN) {
                samples.add(new double[] {nowMs, bytesSent - unread});
            }
        }

        boolean isOwed() {
            return endMs == Double.POSITIVE_INFINITY && answered < endOf.size();
        }

        /** Returns how many commands the proxy has read and never answered. */
        synchronized int judge() {
            long read = 0;
            double wholeUntilMs = samples.isEmpty() ? 0 : samples.get(samples.size() - 1)[0];
            for (double[] sample : samples) {
                read = sample[0] < wholeUntilMs - END_SLACK_MS ? Math.max(read, (long) sample[1]) : read;
            }
            int lost = 0;
            for (int i = answered; i < endOf.size() && endOf.get(i) <= read; i++) {
                lost++;
                rig.log("LOST command " + i + " of client " + number + ": its last byte was number " + endOf.get(i) + " of " + read
                        + " that the proxy had read");
            }
            rig.log("client " + number + ": commands=" + endOf.size() + " answered=" + answered + " bytes=" + bytesSent + " read=" + read);
            return lost;
        }
    }

    /**
     * How many bytes the system holds that the client has sent and the proxy has not read: in the receive queue of the
     * proxy's socket and in the send queue of the client's. {@link #UNKNOWN} if it can't be told, or if the proxy's end of
     * the connection has come to the client's machine, whether or not the client has noticed.
     */
    private static long unread(int proxyPort, int clientPort) throws IOException {
        String proxy = "0100007F:%04X".formatted(proxyPort);
        String client = "0100007F:%04X".formatted(clientPort);
        long received = -1;
        long unsent = -1;
        for (String file : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
            if (!Files.exists(Path.of(file))) {
                continue;
            }
            for (String line : Files.readAllLines(Path.of(file))) {
                String[] words = line.trim().split("\\s+");
                if (words.length < 5 || !words[4].contains(":")) {
                    continue;
                }
                String[] queues = words[4].split(":");
                if (words[1].endsWith(proxy) && words[2].endsWith(client)) {
                    received = words[3].equals(ESTABLISHED) ? Long.parseLong(queues[1], 16) : -1;
                } else if (words[1].endsWith(client) && words[2].endsWith(proxy)) {
                    unsent = words[3].equals(ESTABLISHED) ? Long.parseLong(queues[0], 16) : -1;
                }
            }
        }
        return received < 0 || unsent < 0 ? UNKNOWN : received + unsent;
    }

    private void node(Socket socket, InputStream in, OutputStream out) throws Exception {
        Random random = new Random(socket.getPort());
        LinkedBlockingQueue<Object[]> answers = new LinkedBlockingQueue<>();
        Rig.daemon(() -> {
            while (true) {
                Object[] next = answers.take();
                for (double left; (left = (double) next[0] - rig.nowMs()) > 0; ) {
                    Rig.sleep(left);
                }
                out.write(Rig.ascii((String) next[1]));
                out.flush();
            }
        });
        for (String line; (line = Rig.line(in)) != null; ) {
            boolean probe = line.equals("mn");
            double afterMs = probe ? 0 : MIN_NODE_MS + random.nextDouble() * (MAX_NODE_MS - MIN_NODE_MS);
            answers.add(new Object[] {
                rig.nowMs() + afterMs, probe ? "MN\r\n" : "VA 5 O" + Rig.flag(line, 'O') + " h1\r\nhello\r\n"
            });
        }
    }
}
