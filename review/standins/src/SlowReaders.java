import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Other clients send many reads at once and take seconds to read the answers; the usual ones must get theirs. */
final class SlowReaders {
    private static final int NODES = 30;
    private static final int SLOW_CLIENTS = 80;
    private static final int COMMANDS = 32;
    private static final int LONGEST = 4_000_000;
    private static final int LONG = 64_000;
    private static final int USUAL_CLIENTS = 10;
    private static final int DEADLINE_MS = 1000;
    /** Up to half a second after its time a request only earns nothing. */
    private static final int GRACE_MS = 500;

    private static final AtomicInteger ANSWERED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger SENT = new AtomicInteger();
    private static volatile boolean ended;
    private static Rig rig;
    private static InetSocketAddress proxy;

    public static void main(String[] arguments) {
        Rig.play(arguments[0], SlowReaders::play);
    }

    private static int play(Rig opened) throws IOException, InterruptedException {
        rig = opened;
        Node.record = rig;
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < NODES; i++) {
            hosts.add(Rig.host("s-" + i, rig.add(new Node(20)).dial(), "node-fast"));
        }
        String list = Rig.list(hosts);
        Rig.Discovery discovery = rig.add(new Rig.Discovery(list));
        proxy = rig.startProxy(discovery.dial(), Rig.settings(6, true), list, 192, 1024);
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> usualClient(number));
        }
        Rig.sleep(3000);
        rig.note((Rig.trouble() ? "slow" : "fast") + " readers begin");
        for (int i = 0; i < SLOW_CLIENTS; i++) {
            int number = i;
            Rig.thread(() -> pipeliningClient(number));
            Rig.sleep(160);
        }
        Rig.sleep(20_000);
        ended = true;
        Rig.sleep(3000);
        boolean runs = rig.proxyRuns();
        rig.say("usual clients: sent " + SENT + " served " + ANSWERED + " refused " + REFUSED + " failed " + FAILED
                + " lost " + LOST + "; the proxy " + (runs ? "runs" : "has ended"));
        return ANSWERED.get() == 0 ? 2 : LOST.get() > 0 || !runs ? 1 : 0;
    }

    /** Sends many reads at once and reads the answers, slowly where the disruption is played. */
    private static void pipeliningClient(int number) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setReceiveBufferSize(16 << 10);
            socket.connect(proxy);
            StringBuilder commands = new StringBuilder();
            for (int i = 0; i < COMMANDS; i++) {
                commands.append("mg ").append(i == 0 ? LONGEST : LONG).append('x').append(number * 1000 + i).append(" v Oslow")
                        .append(number).append('n').append(i).append(" Pc=seg-image,d=").append(DEADLINE_MS)
                        .append("\r\n");
            }
            rig.note("reader " + number + " sends " + COMMANDS + " commands");
            socket.getOutputStream().write(Rig.ascii(commands.toString()));
            byte[] buffer = new byte[8 << 10];
            long total = 0;
            int count;
            while ((count = socket.getInputStream().read(buffer)) > 0 && !ended) {
                total += count;
                if (Rig.trouble()) {
                    Rig.sleep(16); // half a megabyte a second: four megabytes take eight seconds
                }
            }
            rig.note("reader " + number + " ended after " + total + " bytes");
        }
    }

    /** Sends one read after the other and reads at full speed. */
    private static void usualClient(int number) {
        Socket socket = null;
        Rig.Lines lines = null;
        for (int i = 0; !ended; i++) {
            String id = "usual" + number + "n" + i;
            String key = "2000x" + (100_000 + number * 1000 + i % 200);
            double sentMs = Rig.now();
            boolean written = false;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.connect(proxy, 1000);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(DEADLINE_MS + GRACE_MS);
                    lines = new Rig.Lines(socket.getInputStream());
                }
                socket.getOutputStream().write(
                        Rig.ascii("mg " + key + " v O" + id + " Pc=seg-text,d=" + DEADLINE_MS + "\r\n"));
                written = true;
                String line = lines.line();
                if (line == null) {
                    throw new IOException("closed with no answer");
                }
                SENT.incrementAndGet();
                rig.note("usual client's " + id + ", sent at " + Math.round(sentMs) + ", is answered " + line);
                if (line.startsWith("VA ")) {
                    byte[] value = lines.bytes(Node.length(key) + 2);
                    if (value == null) {
                        throw new IOException("value cut off");
                    }
                    ANSWERED.incrementAndGet();
                } else if (line.startsWith("SERVER_ERROR busy")) {
                    REFUSED.incrementAndGet();
                } else {
                    FAILED.incrementAndGet();
                }
            } catch (IOException e) {
                boolean taken = Node.RUN.containsKey(id);
                String what = e instanceof SocketTimeoutException ? "no answer" : String.valueOf(e.getMessage());
                rig.note(id + " sent at " + Math.round(sentMs) + ": " + what
                        + (taken ? ", a node has got it: lost" : ", no node has got it"));
                if (taken || (written && e instanceof SocketTimeoutException)) {
                    SENT.incrementAndGet();
                    LOST.incrementAndGet();
                }
                if (socket != null) {
                    try {
                        socket.close();
                    } catch (IOException ignored) {
                        // it is given up anyway
                    }
                }
                socket = null;
            }
            Rig.sleep(80);
        }
    }
}
