import java.io.IOException;
import java.net.Socket;
import java.util.Map;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A cache node by the protocol page: begins each command when its last byte has come, answers in the order of a
 * connection's commands, and has every key that
 * does not begin with "miss".
 */
class Node extends Rig.Server {
    /** The ids of the requests that any node has got, with how often. */
    static final Map<String, AtomicInteger> RUN = Rig.map();

    /** Where the nodes record what they run; null for nowhere. */
    static volatile Rig record;

    private final double workMs;
    /** Until when the node stands still. */
    volatile double stalledUntil;

    Node(double workMs) throws IOException {
        this.workMs = workMs;
        serve(this::connection);
    }

    /** The value of a key, which a client can check. */
    static byte[] value(String key, int bytes) {
        byte[] value = new byte[bytes];
        byte[] pattern = Rig.ascii(key);
        for (int i = 0; i < bytes; i++) {
            value[i] = pattern[i % pattern.length];
        }
        return value;
    }

    /** The length of a key's value: the key tells it, as in "4096x17". */
    static int length(String key) {
        return Integer.parseInt(key.substring(0, key.indexOf('x')));
    }

    private record Due(double atMs, byte[] answer) {}

    private void connection(Socket socket) throws IOException {
        LinkedBlockingQueue<Due> due = new LinkedBlockingQueue<>();
        Rig.thread(() -> {
            while (true) {
                Due next = due.take();
                while (Rig.now() < Math.max(next.atMs, stalledUntil)) {
                    Rig.sleep(Math.min(20, Math.max(0.2, Math.max(next.atMs, stalledUntil) - Rig.now())));
                }
                if (!send(socket, next.answer)) {
                    return;
                }
            }
        });
        Rig.Lines lines = new Rig.Lines(socket.getInputStream());
        String line;
        while ((line = lines.line()) != null) {
            String[] words = line.split(" ");
            if (line.equals("mn")) {
                due.add(new Due(0, Rig.ascii("MN\r\n")));
                continue;
            }
            if (!words[0].equals("mg")) {
                due.add(new Due(0, Rig.ascii("CLIENT_ERROR\r\n")));
                continue;
            }
            String id = Rig.flag(line, 'O');
            RUN.computeIfAbsent(id, absent -> new AtomicInteger()).incrementAndGet();
            if (record != null) {
                record.note(dial() + " begins " + line);
            }
            if (words[1].startsWith("miss")) {
                due.add(new Due(Rig.now() + 1, Rig.ascii("EN O" + id + " h0\r\n")));
                continue;
            }
            byte[] value = value(words[1], length(words[1]));
            byte[] head = Rig.ascii("VA " + value.length + " O" + id + " h1\r\n");
            byte[] answer = new byte[head.length + value.length + 2];
            System.arraycopy(head, 0, answer, 0, head.length);
            System.arraycopy(value, 0, answer, head.length, value.length);
            answer[answer.length - 2] = '\r';
            answer[answer.length - 1] = '\n';
            due.add(new Due(Rig.now() + workMs, answer));
        }
    }

    /** Sends an answer; returns false if the connection has been broken instead. */
    boolean send(Socket socket, byte[] answer) throws IOException {
        socket.getOutputStream().write(answer);
        return true;
    }
}
