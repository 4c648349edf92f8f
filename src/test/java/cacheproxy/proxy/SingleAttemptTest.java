package cacheproxy.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.ScriptedServer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests that a request is never out at two servers at once where the settings allow no second copies: an attempt that
 * is given up is out until it is answered or its connection is closed.
 */
@Timeout(30)
class SingleAttemptTest {
    private static final String UNSAFE_WRITE = "ms 7f3a9c21e0b4d655 5 Owrite Pc=fix,d=20000\r\nhello\r\n";
    /** A read is overdue after a quarter of its objective. */
    private static final String OBJECTIVE_MS = "400.0";

    private static final double LONG_OVERDUE_MS = 1500;

    private static String read(String id) {
        return "mg 7f3a9c21e0b4d655 v O" + id + " Pc=text,d=20000\r\n";
    }

    private static String hit(String command) {
        return "VA 5 O" + ScriptedServer.requestId(command) + " h1\r\nhello\r\n";
    }

    /** One connection to each node, which attempts share. */
    private static Fleet withoutSecondCopies(ScriptedServer... nodes) {
        Fleet fleet = new Fleet()
                .set("balancers", "60")
                .set("extra.mode", "through")
                .set("caps.second-copies", "false")
                .set("classes.0.promise", OBJECTIVE_MS);
        for (ScriptedServer node : nodes) {
            fleet.node(node);
        }
        return fleet;
    }

    /** Guards against an overdue read that is sent to a second server while it is out at the first one. */
    @Test
    void keepsOverdueReadWhereAnotherAttemptKeepsItsConnectionOpen() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        ScriptedServer.Script standing = connection -> {
            String write = connection.readCommand();
            connection.readLine(); // its value
            String read = connection.readCommand();
            mayAnswer.await();
            connection.send("HD O" + ScriptedServer.requestId(write) + " cr1\r\n" + hit(read));
            connection.awaitEnd();
        };
        ScriptedServer first = new ScriptedServer(standing);
        ScriptedServer second = new ScriptedServer(standing);
        try (Fleet fleet = withoutSecondCopies(first, second).start();
                Fleet.Client writer = fleet.client();
                Fleet.Client reader = fleet.client()) {
            writer.send(UNSAFE_WRITE);
            fleet.awaitPendingRequests(1);
            reader.send(read("a"));
            fleet.awaitPendingRequests(2);
            fleet.proxy.runAfter(LONG_OVERDUE_MS, mayAnswer::countDown);
            assertThat(writer.line()).isEqualTo("HD Owrite cr1");
            assertThat(reader.line()).isEqualTo("VA 5 Oa");
            assertThat(first.accepted.size() + second.accepted.size())
                    .as("servers that got an attempt")
                    .isEqualTo(1);
            assertThat(fleet.proxy.invariantSummary()).doesNotContain("single_attempt");
        }
    }

    /** An overdue read is sent to another server once its connection, on which all are overdue, is closed. */
    @Test
    void sendsOverdueReadsElsewhereOnceTheirConnectionIsClosed() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        CountDownLatch seen = new CountDownLatch(1);
        boolean[] taken = {false};
        ScriptedServer.Script script = connection -> {
            boolean standing;
            synchronized (taken) {
                standing = !taken[0];
                taken[0] = true;
            }
            if (standing) {
                connection.awaitEnd();
                ended.countDown();
                return;
            }
            for (String line; (line = connection.readCommand()) != null; ) {
                assertThat(ended.await(20, TimeUnit.SECONDS)).isTrue();
                seen.countDown();
                connection.send(hit(line));
            }
        };
        try (Fleet fleet = withoutSecondCopies(new ScriptedServer(script), new ScriptedServer(script))
                        .start();
                Fleet.Client client = fleet.client();
                Fleet.Client other = fleet.client()) {
            client.send(read("a"));
            other.send(read("b"));
            assertThat(client.line()).isEqualTo("VA 5 Oa");
            assertThat(other.line()).isEqualTo("VA 5 Ob");
            assertThat(seen.getCount()).isZero();
            assertThat(fleet.proxy.invariantSummary()).doesNotContain("single_attempt");
        }
    }

    /** A read that has been given up and is still out is served by its late answer, as by any other. */
    @Test
    void servesLateAnswerOfOverdueRead() throws Exception {
        CountDownLatch mayAnswer = new CountDownLatch(1);
        ScriptedServer.Script script = connection -> {
            String read = connection.readCommand();
            connection.readCommand();
            connection.readLine();
            mayAnswer.await();
            connection.send(hit(read));
            connection.awaitEnd();
        };
        try (Fleet fleet = withoutSecondCopies(new ScriptedServer(script), new ScriptedServer(script))
                        .start();
                Fleet.Client reader = fleet.client();
                Fleet.Client writer = fleet.client()) {
            reader.send(read("a"));
            fleet.awaitPendingRequests(1);
            writer.send(UNSAFE_WRITE);
            fleet.awaitPendingRequests(2);
            fleet.proxy.runAfter(LONG_OVERDUE_MS, mayAnswer::countDown);
            assertThat(reader.line()).isEqualTo("VA 5 Oa");
        }
    }
}
