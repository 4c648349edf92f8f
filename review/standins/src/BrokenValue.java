import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * A client sends several commands at once. A cache node resets the connection in the middle of the long value that
 * answers the first of them. The others must get their answers all the same.
 */
final class BrokenValue {
    private static final int NODES = 6;
    private static final int ROUNDS = 20;
    private static final int LONG = 1_000_000;
    private static Rig rig;

    public static void main(String[] arguments) {
        Rig.play(arguments[0], BrokenValue::play);
    }

    private static int play(Rig opened) throws IOException, InterruptedException {
        rig = opened;
        Node.record = rig;
        Origin origin = rig.add(new Origin(rig, 100, 140, 0, 0));
        List<String> hosts = new ArrayList<>();
        hosts.add(Rig.host("s-origin", origin.dial(), "origin"));
        for (int i = 0; i < NODES; i++) {
            hosts.add(Rig.host("s-" + i, rig.add(new BreakingNode()).dial(), "node-fast"));
        }
        String list = Rig.list(hosts);
        Rig.Discovery discovery = rig.add(new Rig.Discovery(list));
        InetSocketAddress proxy = rig.startProxy(discovery.dial(), Rig.settings(6, true), list, 192, 1024);
        int lost = 0;
        int ranAndLost = 0;
        int answered = 0;
        for (int round = 0; round < ROUNDS; round++) {
            Set<String> unanswered = round(proxy, round);
            answered += 5 - unanswered.size();
            for (String id : unanswered) {
                boolean taken = Node.RUN.containsKey(id);
                rig.note(id + ": its connection was closed with no answer, "
                        + (taken ? "and a stand-in has got it: lost" : "and no stand-in has got it"));
                lost += taken ? 1 : 0;
                ranAndLost += taken && id.endsWith("write") ? 1 : 0;
            }
            Rig.sleep(300);
        }
        rig.say("rounds " + ROUNDS + " answered " + answered + " lost " + lost
                + ", of these writes that the origin has run " + ranAndLost);
        return !rig.proxyRuns() || answered + lost == 0 ? 2 : lost > 0 ? 1 : 0;
    }

    /** Returns the ids of the commands, but for the long read, whose connection was closed with no answer. */
    private static Set<String> round(InetSocketAddress proxy, int round) throws IOException {
        String prefix = "round" + round;
        Set<String> waiting = new LinkedHashSet<>();
        StringBuilder commands = new StringBuilder();
        commands.append("mg ").append(LONG).append('x').append(round).append(" v O").append(prefix)
                .append("long Pc=seg-image,d=1000\r\n");
        commands.append("ms track").append(round).append(" 5 O").append(prefix)
                .append("write Pc=fix-submit,d=600\r\nhello\r\n");
        waiting.add(prefix + "write");
        for (int i = 0; i < 4; i++) {
            commands.append("mg 2000x").append(round * 10 + i).append(" v O").append(prefix).append("read").append(i)
                    .append(" Pc=seg-text,d=1000\r\n");
            waiting.add(prefix + "read" + i);
        }
        try (Socket socket = new Socket()) {
            socket.connect(proxy, 1000);
            socket.setSoTimeout(4000);
            commands.toString().lines().forEach(line -> rig.note("client sends " + line));
            socket.getOutputStream().write(Rig.ascii(commands.toString()));
            Rig.Lines lines = new Rig.Lines(socket.getInputStream());
            List<String> order = new ArrayList<>(waiting);
            order.add(0, prefix + "long");
            for (String id : order) {
                String line = lines.line();
                if (line == null) {
                    break;
                }
                if (line.startsWith("VA ")) {
                    if (lines.bytes(Integer.parseInt(line.split(" ")[1]) + 2) == null) {
                        rig.note(id + ": its value was cut off");
                        break;
                    }
                }
                rig.note(id + ": " + line);
                waiting.remove(id);
            }
        } catch (IOException e) {
            rig.note(prefix + ": " + e.getMessage());
        }
        return waiting;
    }

    /** A node that can reset a connection in the middle of a long value, after the origin has had time to answer. */
    private static final class BreakingNode extends Node {
        BreakingNode() throws IOException {
            super(20);
        }

        @Override
        boolean send(Socket socket, byte[] answer) throws IOException {
            if (answer.length < LONG || !Rig.trouble()) {
                return super.send(socket, answer);
            }
            socket.getOutputStream().write(answer, 0, LONG / 2);
            Rig.sleep(80);
            rig.note("a node resets its connection in the middle of a value");
            socket.setSoLinger(true, 0);
            socket.close();
            return false;
        }
    }
}
