import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin answers some writes twice, the second time some milliseconds later. Does anyone get another's answer? */
final class LateSecondAnswer {
    private static final int CLIENTS = 40;
    private static final double RUN_MS = 20_000;
    private static final double ORIGIN_MS = 120;
    private static final int COPY_AFTER_MS = 3;
    private static final double ONE_WAY_MS = 2;
    private static final int ONE_IN = 20;

    private final Rig rig;
    private final Map<String, String> receipts = new ConcurrentHashMap<>();
    private final AtomicInteger requests = new AtomicInteger();
    private final AtomicInteger copies = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();
    private final AtomicInteger failed = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();

    private LateSecondAnswer(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new LateSecondAnswer(rig).run());
    }

    private boolean run() throws Exception {
        Rig.Server origin = rig.owns(rig.new Server(this::origin));
        Rig.DelayingRelay network = rig.new DelayingRelay(origin.port(), ONE_WAY_MS);
        Rig.Server node = rig.owns(rig.new Server((socket, in, out) -> {
            for (String line; (line = Rig.line(in)) != null; ) {
                out.write(Rig.ascii(line.equals("mn") ? "MN\r\n" : "EN O" + Rig.flag(line, 'O') + " h0\r\n"));
            }
        }));
        Rig.Config config = new Rig.Config().siteClasses().node("s-5be2a07c", node.port()).origin(network.port());
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
        rig.log("requests=" + requests + " served=" + served + " refused=" + refused + " failed=" + failed
                + " second_answers=" + copies + " foreign=" + foreign);
        System.out.println("requests=" + requests + " served=" + served + " refused=" + refused + " failed=" + failed
                + " second_answers=" + copies + " foreign=" + foreign);
        if (served.get() < 500) {
            throw new Rig.CannotRun("only " + served + " requests were served");
        }
        return foreign.get() == 0;
    }

    private void client(int port, int number, double endMs) throws Exception {
        Random random = new Random(number);
        try (Rig.Client client = new Rig.Client(port, 5000)) {
            for (int i = 0; rig.nowMs() < endMs; i++) {
                String id = "%04x%08x".formatted(number, i);
                String key = "%016x".formatted(random.nextLong());
                boolean fix = number % 2 == 0;
                client.send("ms " + key + " 5 O" + id + " Pc="
                        + (fix ? "fix-submit,d=480" : "track-publish,d=800,k=" + key) + "\r\nhello\r\n");
                requests.incrementAndGet();
                String answer = client.line();
                judge(id, key, answer);
                if (answer == null) {
                    return;
                }
                if (answer.startsWith("SERVER_ERROR")) {
                    String[] words = answer.split(" ");
                    Rig.sleep(words.length > 2 ? Integer.parseInt(words[2]) : 50);
                }
            }
        }
    }

    private void judge(String id, String key, String answer) {
        if (answer == null || !answer.startsWith("HD ")) {
            (answer != null && answer.startsWith("SERVER_ERROR busy") ? refused : failed).incrementAndGet();
            return;
        }
        served.incrementAndGet();
        String receipt = Rig.flag(answer, 'c');
        if (!("r-" + id).equals(receipt)) {
            foreign.incrementAndGet();
            rig.log("FOREIGN the write " + id + " of key " + key + " was answered: " + answer
                    + "; the origin " + (receipts.containsKey(id) ? "had made " + receipts.get(id) : "had not run it yet"));
        }
    }

    private void origin(Socket socket, InputStream in, OutputStream out) throws Exception {
        Random random = new Random(socket.getPort());
        for (Rig.HttpRequest request; (request = Rig.httpRequest(in)) != null; ) {
            Rig.sleep(ORIGIN_MS);
            String id = request.headers().get("Req-Id");
            receipts.put(id, "r-" + id);
            byte[] answer = Rig.httpOk(Rig.ascii("r-" + id));
            out.write(answer);
            out.flush();
            if (rig.trouble && random.nextInt(ONE_IN) == 0) {
                Rig.sleep(COPY_AFTER_MS);
                if (in.available() == 0) { // nothing else waits on the connection
                    rig.log("second answer " + id + " on connection " + socket.getPort());
                    out.write(answer);
                    out.flush();
                    copies.incrementAndGet();
                }
            }
        }
    }
}
