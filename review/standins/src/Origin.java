import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The origin by the protocol page. So many of its good answers are followed by a second copy, some milliseconds late
 * and only if nothing else waits on the connection.
 */
final class Origin extends Rig.Server {
    static final AtomicInteger SECOND_COPIES = new AtomicInteger();

    private final Rig rig;
    private final double minMs;
    private final double maxMs;
    private final double secondCopyShare;
    private final double lateMs;

    Origin(Rig rig, double minMs, double maxMs, double secondCopyShare, double lateMs) throws IOException {
        this.rig = rig;
        this.minMs = minMs;
        this.maxMs = maxMs;
        this.secondCopyShare = secondCopyShare;
        this.lateMs = Math.max(4, lateMs);
        serve(this::connection);
    }

    /** What the origin has for a key. */
    static String value(String key) {
        return "value-of-" + key;
    }

    /** The receipt of a write. */
    static String receipt(String id) {
        return "r" + id;
    }

    private void connection(Socket socket) throws IOException {
        Rig.Lines lines = new Rig.Lines(socket.getInputStream());
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String request;
        while ((request = lines.line()) != null) {
            String id = "";
            int length = 0;
            String header;
            while ((header = lines.line()) != null && !header.isEmpty()) {
                String lower = header.toLowerCase(java.util.Locale.ROOT);
                if (lower.startsWith("req-id:")) {
                    id = header.substring(7).trim();
                } else if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(header.substring(15).trim());
                }
            }
            lines.bytes(length);
            String key = request.split(" ")[1].substring(1);
            String body = request.startsWith("PUT") ? receipt(id) : value(key);
            Node.RUN.computeIfAbsent(id, absent -> new AtomicInteger()).incrementAndGet();
            rig.note("origin on " + socket.getPort() + " runs " + id + " " + request);
            Rig.sleep(random.nextDouble(minMs, maxMs));
            byte[] answer = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                    .getBytes(StandardCharsets.US_ASCII);
            socket.getOutputStream().write(answer);
            if (random.nextDouble() < secondCopyShare) {
                Rig.sleep(random.nextDouble(3, lateMs));
                if (socket.getInputStream().available() == 0) {
                    socket.getOutputStream().write(answer);
                    SECOND_COPIES.incrementAndGet();
                    rig.note("origin on " + socket.getPort() + " sends the answer to " + id + " a second time");
                }
            }
        }
    }
}
