import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/** The origin answers some writes with lines of noise for a receipt. Is that served as a receipt that looks sound? */
final class NoiseReceipt {
    private static final int CLIENTS = 8;
    private static final int AT_ONCE = 4;
    private static final double RUN_MS = 15_000;
    private static final int ONE_IN = 20;
    private static final int NOISE_LINES = 4;
    private static final int NOISE_LINE_BYTES = 16;

    private final Rig rig;
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger spoilt = new AtomicInteger();
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger noise = new AtomicInteger();
    private final AtomicInteger foreign = new AtomicInteger();
    private final AtomicInteger other = new AtomicInteger();

    private NoiseReceipt(Rig rig) {
        this.rig = rig;
    }

    public static void main(String[] arguments) {
        Rig.main(arguments, rig -> new NoiseReceipt(rig).run());
    }

    private boolean run() throws Exception {
        Rig.Server node = rig.owns(rig.new Server((socket, in, out) -> {
            for (String line; (line = Rig.line(in)) != null; ) {
                out.write(Rig.ascii(line.equals("mn") ? "MN\r\n" : "EN O" + Rig.flag(line, 'O') + " h0\r\n"));
            }
        }));
        Rig.Config config = new Rig.Config()
                .siteClasses()
                .node("s-5be2a07c", node.port())
                .origin(rig.owns(rig.new Server(this::origin)).port());
        rig.new Discovery(config);
        config.listenPort = Rig.freePort();
        rig.start(config, "n0");
        double endMs = rig.nowMs() + RUN_MS;
        Thread[] clients = new Thread[CLIENTS];
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            clients[i] = Rig.daemon(() -> {
                for (int connection = 0; rig.nowMs() < endMs; connection++) {
                    client(config.listenPort, number, connection, endMs);
                }
            });
        }
        for (Thread client : clients) {
            client.join();
        }
        String summary = "writes=" + writes + " served=" + served + " spoilt_answers=" + spoilt + " served_with_noise_as_a_receipt="
                + noise + " answers_of_other_commands=" + foreign + " refused_or_failed=" + other;
        rig.log(summary);
        System.out.println(summary);
        if (served.get() < 300) {
            throw new Rig.CannotRun("only " + served + " writes were served");
        }
        return noise.get() == 0; // an answer with the id of another can be told apart by the client
    }

    /** Uses one connection until an answer is not that of its command: the client can't go on with it then. */
    private void client(int port, int number, int connection, double endMs) throws Exception {
        Random random = new Random(number * 1000L + connection);
        try (Rig.Client client = new Rig.Client(port, 5000)) {
            for (int round = 0; rig.nowMs() < endMs; round++) {
                List<String> ids = new ArrayList<>();
                StringBuilder commands = new StringBuilder();
                for (int i = 0; i < AT_ONCE; i++) {
                    String id = "%02x%03x%04x%x".formatted(number, connection, round, i);
                    ids.add(id);
                    String key = "%016x".formatted(random.nextLong());
                    commands.append("ms " + key + " 5 O" + id + " Pc=track-publish,d=800,k=" + key + "\r\nhello\r\n");
                }
                client.send(commands.toString());
                writes.addAndGet(AT_ONCE);
                boolean usable = true;
                for (String id : ids) { // answers come in the order of the commands
                    String answer = client.line();
                    if (answer == null) {
                        return;
                    }
                    usable &= judge(id, answer);
                }
                if (!usable) {
                    return;
                }
            }
        }
    }

    /** Returns whether the answer is one of this command's. */
    private boolean judge(String id, String answer) {
        if (answer.startsWith("SERVER_ERROR ")) {
            other.incrementAndGet();
            return true;
        }
        if (!answer.startsWith("HD ")) { // any other line: failed
            other.incrementAndGet();
            rig.log("the write " + id + " got the line: " + printable(answer));
            return false;
        }
        served.incrementAndGet();
        if (answer.equals("HD O" + id + " cr-" + id)) {
            return true;
        }
        boolean own = answer.startsWith("HD O" + id + " ");
        if (own && !answer.matches("HD O\\S+ c[!-~]+")) {
            other.incrementAndGet(); // the client can tell that it is spoilt, so it has failed
            rig.log("SPOILT the write " + id + " was answered: " + printable(answer));
            return false;
        }
        (own ? noise : foreign).incrementAndGet();
        rig.log((own ? "NOISE" : "FOREIGN") + " the write " + id + " was answered: " + printable(answer));
        return false;
    }

    private static String printable(String text) {
        StringBuilder shown = new StringBuilder();
        text.chars().forEach(c -> shown.append(c > ' ' - 1 && c < 127 ? String.valueOf((char) c) : "\\x%02x".formatted(c)));
        return shown.toString();
    }

    /** Lines of printable noise: no receipt, which is one word of a line. */
    private static byte[] noise(Random random) {
        StringBuilder noise = new StringBuilder();
        for (int line = 0; line < NOISE_LINES; line++) {
            for (int i = 0; i < NOISE_LINE_BYTES; i++) {
                noise.append((char) ('!' + random.nextInt('~' - '!' + 1)));
            }
            noise.append("\r\n");
        }
        return Rig.ascii(noise.toString());
    }

    private void origin(Socket socket, InputStream in, OutputStream out) throws Exception {
        Random random = new Random(socket.getPort());
        for (Rig.HttpRequest request; (request = Rig.httpRequest(in)) != null; ) {
            Rig.sleep(30);
            byte[] body = Rig.ascii("r-" + request.headers().get("Req-Id"));
            if (rig.trouble && random.nextInt(ONE_IN) == 0) {
                body = noise(random);
                spoilt.incrementAndGet();
                rig.log("noise for " + request.headers().get("Req-Id"));
                out.write(Rig.httpOk(body));
                out.flush();
                while (in.read() >= 0) { // the connection stays open and is of no further use
                    continue;
                }
                return;
            }
            out.write(Rig.httpOk(body));
            out.flush();
        }
    }
}
