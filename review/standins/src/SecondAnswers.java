import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of the origin are followed by a second copy some milliseconds later. No client may get what was made for
 * another request. The load is that of one proxy of a small fleet: most reads are hits, the rest and the writes go to the
 * origin.
 */
final class SecondAnswers {
    private static final int NODES = 30;
    private static final int PROXIES = 6;
    private static final int DESCRIPTORS = 256;
    /** Clients whose reads are hits. */
    private static final int HIT_CLIENTS = 38;
    /** Clients whose reads are misses, and which write. */
    private static final int CLIENTS = 7;
    private static final int HIT_BYTES = 100;
    private static final double SECOND_COPY_SHARE = 0.2;
    /** How late a second copy is, at most: some milliseconds. */
    private static final double LATE_MS = 8;
    /** One way between two data centres. */
    private static final double CROSS_MS = 2;
    private static final double RUN_MS = 60_000;

    private static final AtomicInteger HITS = new AtomicInteger();
    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static final AtomicInteger UNANSWERED = new AtomicInteger();
    private static final AtomicInteger FOREIGN = new AtomicInteger();
    private static volatile boolean ended;
    private static Rig rig;
    private static InetSocketAddress proxy;

    public static void main(String[] arguments) {
        Rig.play(arguments[0], SecondAnswers::play);
    }

    private static int play(Rig opened) throws IOException, InterruptedException {
        rig = opened;
        Node.record = rig;
        Origin origin = rig.add(new Origin(rig, 100, 240, Rig.trouble() ? SECOND_COPY_SHARE : 0, LATE_MS));
        Rig.DelayRelay relay = rig.add(new Rig.DelayRelay(origin.dial(), CROSS_MS));
        List<String> hosts = new ArrayList<>();
        hosts.add(Rig.host("s-origin", relay.dial(), "origin"));
        for (int i = 0; i < NODES; i++) {
            hosts.add(Rig.host("s-" + i, rig.add(new Node(30)).dial(), "node-fast"));
        }
        String list = Rig.list(hosts);
        Rig.Discovery discovery = rig.add(new Rig.Discovery(list));
        proxy = rig.startProxy(discovery.dial(), Rig.settings(PROXIES, true), list, 192, DESCRIPTORS);
        for (int i = 0; i < HIT_CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> hitClient(number));
        }
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> client(number));
        }
        Rig.sleep(RUN_MS);
        ended = true;
        Rig.sleep(2000);
        rig.say("hits " + HITS + "; of the others served " + SERVED + " refused " + REFUSED + " failed " + FAILED + " unanswered " + UNANSWERED
                + " second copies " + Origin.SECOND_COPIES + " served with another request's answer " + FOREIGN);
        boolean played = rig.proxyRuns() && SERVED.get() > 0 && (!Rig.trouble() || Origin.SECOND_COPIES.get() > 0);
        return !played ? 2 : FOREIGN.get() > 0 ? 1 : 0;
    }

    /** Sends one read after the other, of keys that the cache nodes have. */
    private static void hitClient(int number) throws IOException {
        ThreadLocalRandom random = ThreadLocalRandom.current();
        try (Socket socket = new Socket()) {
            socket.connect(proxy, 1000);
            socket.setTcpNoDelay(true);
            Rig.Lines lines = new Rig.Lines(socket.getInputStream());
            String line = "";
            for (int i = 0; !ended && line != null; i++) {
                String key = HIT_BYTES + "x" + random.nextInt(3000);
                String id = "h" + number + "n" + i;
                socket.getOutputStream().write(
                        Rig.ascii("mg " + key + " v O" + id + " Pc=seg-text,d=1000\r\n"));
                line = lines.line();
                rig.note("client's " + id + " is answered " + line);
                if (line != null && line.startsWith("VA ")) {
                    HITS.incrementAndGet();
                    lines.bytes(HIT_BYTES + 2);
                }
                Rig.sleep(random.nextDouble(60, 160));
            }
        }
    }

    /** A read, an unsafe write or a keyed write. */
    private static String command(String id, String key, int kind) {
        return switch (kind) {
            case 0 -> "mg " + key + " v O" + id + " Pc=seg-text,d=1000\r\n";
            case 1 -> "ms " + key + " 5 O" + id + " Pc=fix-submit,d=600\r\nhello\r\n";
            default -> "ms " + key + " 5 O" + id + " Pc=track-publish,d=1000,k=" + id + "\r\nhello\r\n";
        };
    }

    /** Sends one command after the other, and checks that each answer was made for it. */
    private static void client(int number) {
        Socket socket = null;
        Rig.Lines lines = null;
        for (int i = 0; !ended; i++) {
            String id = "c" + number + "n" + i;
            ThreadLocalRandom random = ThreadLocalRandom.current();
            int kind = random.nextInt(4) > 0 ? 0 : random.nextInt(5) < 3 ? 1 : 2;
            String key = "miss" + random.nextInt(1000);
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(proxy, 1000);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(1500);
                    lines = new Rig.Lines(socket.getInputStream());
                }
                String command = command(id, key, kind);
                rig.note("client sends " + command.lines().findFirst().orElseThrow());
                socket.getOutputStream().write(Rig.ascii(command));
                String line = lines.line();
                if (line == null) {
                    throw new IOException("closed with no answer");
                }
                if (line.startsWith("HD ") || line.startsWith("VA ")) {
                    SERVED.incrementAndGet();
                    String got = line.startsWith("HD ")
                            ? Rig.flag(line, 'c')
                            : new String(lines.bytes(Integer.parseInt(line.split(" ")[1]) + 2),
                                    StandardCharsets.ISO_8859_1).trim();
                    String own = kind == 0 ? Origin.value(key) : Origin.receipt(id);
                    rig.note(id + " was served with " + got + (got.equals(own) ? "" : ": FOREIGN, not " + own));
                    if (!got.equals(own)) {
                        FOREIGN.incrementAndGet();
                    }
                } else if (line.startsWith("SERVER_ERROR busy")) {
                    REFUSED.incrementAndGet();
                    rig.note(id + " " + line);
                } else {
                    FAILED.incrementAndGet();
                    rig.note(id + " " + line);
                }
            } catch (IOException e) {
                UNANSWERED.incrementAndGet();
                rig.note(id + ": " + e.getMessage());
                if (socket != null) {
                    try {
                        socket.close();
                    } catch (IOException ignored) {
                        // it is given up anyway
                    }
                }
                socket = null;
            }
            Rig.sleep(random.nextDouble(60, 160));
        }
    }
}
