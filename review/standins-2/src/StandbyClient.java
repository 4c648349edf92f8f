import java.io.IOException;
import java.net.Socket;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends a command every few milliseconds on one connection while the proxy is put into standby. */
final class StandbyClient {
    private static final int NODES = 4;
    private static final double NODE_MS = 80;
    private static final double COMMAND_EVERY_MS = 10;
    private static final double BEFORE_MS = 2000;
    /** After this time no connection may be held with a request from the last 2 s; 50 ms longer on sockets. */
    private static final double DRAINED_AFTER_MS = 4000 + 50;
    private static final double RECENT_MS = 2000;
    private static final double RUN_AFTER_MS = 6000;

    private final Rig rig;
    private final AtomicInteger answered = new AtomicInteger();
    private final ConcurrentHashMap<Integer, Double> sentMs = new ConcurrentHashMap<>();
    private volatile double endedMs = Double.POSITIVE_INFINITY;
    /** Of the answers that came after the proxy had to be drained: how many, and the first. */
    private final AtomicInteger late = new AtomicInteger();
    private volatile double drainedByMs = Double.POSITIVE_INFINITY;

    private StandbyClient(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new StandbyClient(rig).run());
    }

    private boolean run() throws Exception {
        Rig.Config config = new Rig.Config().siteClasses();
        for (int i = 0; i < NODES; i++) {
            config.node("s-0000000" + (i + 1), rig.owns(rig.new Server((socket, in, out) -> {
                for (String line; (line = Rig.line(in)) != null; ) {
                    boolean probe = line.equals("mn");
                    String answer = probe ? "MN\r\n" : "VA 5 O" + Rig.flag(line, 'O') + " h1\r\nhello\r\n";
                    double atMs = rig.nowMs() + (probe ? 0 : NODE_MS);
                    Rig.daemon(() -> {
                        Rig.sleep(Math.max(0, atMs - rig.nowMs()));
                        synchronized (out) {
                            out.write(Rig.ascii(answer));
                            out.flush();
                        }
                    });
                }
            })).port());
        }
        config.origin(rig.owns(rig.new Server((socket, in, out) -> {
            while (Rig.httpRequest(in) != null) {
                out.write(Rig.httpOk(Rig.ascii("hello")));
            }
        })).port());
        rig.new Discovery(config);
        config.listenPort = Rig.freePort();
        config.controlPort = Rig.freePort();
        rig.start(config, "n0");
        Random random = new Random(1);
        boolean yes = false;
        int sent = 0;
        double startMs = rig.nowMs();
        double standbyMs = Double.POSITIVE_INFINITY;
        boolean asked = false;
        try (Rig.Client client = new Rig.Client(config.listenPort, 5000)) {
            Thread reader = Rig.daemon(() -> read(client));
            while (reader.isAlive() && rig.nowMs() < startMs + BEFORE_MS + RUN_AFTER_MS) {
                if (rig.trouble && standbyMs == Double.POSITIVE_INFINITY && rig.nowMs() > startMs + BEFORE_MS) {
                    rig.log("POST /standby: " + standby(config.controlPort));
                    standbyMs = rig.nowMs();
                    drainedByMs = standbyMs + DRAINED_AFTER_MS;
                }
                if (!asked && rig.nowMs() > drainedByMs) {
                    asked = true;
                    yes = saysYes(config.listenPort);
                }
                sentMs.put(sent, rig.nowMs());
                try {
                    client.send("mg %016x v Oc%d Pc=seg-text,d=800\r\n".formatted(random.nextLong(), sent));
                } catch (IOException e) {
                    break; // the proxy has ended the connection
                }
                sent++;
                Rig.sleep(COMMAND_EVERY_MS);
            }
            Rig.sleep(1000);
        }
        String summary = "commands=" + sent + " answered=" + answered + " yes_at_4s=" + yes
                + " answers_to_requests_of_the_last_2s_after_4s=" + late
                + (standbyMs < Double.POSITIVE_INFINITY && endedMs < Double.POSITIVE_INFINITY
                        ? " connection_ended_after_ms=" + Math.round(endedMs - standbyMs)
                        : "");
        rig.log(summary);
        System.out.println(summary);
        if (answered.get() < 50) {
            throw new Rig.CannotRun("only " + answered + " answers");
        }
        return !yes && late.get() == 0;
    }

    private void read(Rig.Client client) throws IOException {
        for (String line; (line = client.line()) != null; ) {
            if (line.startsWith("VA ")) {
                client.line();
            }
            double nowMs = rig.nowMs();
            int number = answered.getAndIncrement();
            if (nowMs > drainedByMs && nowMs - sentMs.get(number) < RECENT_MS) {
                late.incrementAndGet();
                rig.log("HELD: command " + number + " was taken and answered on the client's connection %.0f ms after standby: "
                        .formatted(nowMs - drainedByMs + DRAINED_AFTER_MS) + line);
            }
        }
        endedMs = rig.nowMs();
        rig.log("the proxy has ended the connection");
    }

    private static String standby(int port) throws IOException {
        try (Socket socket = new Socket(Rig.LOOPBACK, port)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(Rig.ascii("POST /standby HTTP/1.1\r\nHost: proxy\r\nContent-Length: 0\r\n\r\n"));
            return Rig.line(socket.getInputStream());
        }
    }

    private boolean saysYes(int port) {
        try (Rig.Client client = new Rig.Client(port, 2000)) {
            client.send("mn\r\n");
            String answer = client.line();
            rig.log("mn: " + answer);
            return "MN".equals(answer);
        } catch (IOException e) {
            return false;
        }
    }
}
