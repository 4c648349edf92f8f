package cacheproxy.soak;

import cacheproxy.fakes.ScriptedServer;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/**
 * A sound cache node that answers each read in the order of arrival, and stands still now and then: it then answers
 * nothing for a while, and everything afterwards.
 */
final class StandingNode implements AutoCloseable {
    private static final int MIN_WORK_MS = 60;
    private static final int MAX_WORK_MS = 120;
    private static final int STAND_EVERY_MS = 1200;
    private static final int MIN_STAND_MS = 150;
    private static final int MAX_STAND_MS = 500;

    /** An attempt that has come whole. */
    static final class Attempt {
        final String id;
        final String node;
        final long cameNanos;
        /** When its answer was about to be sent, or the end of its connection was seen; 0 if neither has been. */
        volatile long settledNanos;

        Attempt(String id, String node, long cameNanos) {
            this.id = id;
            this.node = node;
            this.cameNanos = cameNanos;
        }
    }

    private record Answer(Attempt attempt, long dueNanos) {}

    private final String name;
    private final BlockingQueue<Attempt> attempts;
    private final ScriptedServer server;
    private final long startNanos = System.nanoTime();
    private final int phaseMs;
    private final int standMs;

    /** @param attempts takes every attempt that comes to the node */
    StandingNode(String name, long seed, BlockingQueue<Attempt> attempts) throws IOException {
        this.name = name;
        this.attempts = attempts;
        Random random = new Random(seed);
        phaseMs = random.nextInt(STAND_EVERY_MS);
        standMs = MIN_STAND_MS + random.nextInt(MAX_STAND_MS - MIN_STAND_MS);
        server = new ScriptedServer(connection -> serve(connection, new Random(random.nextLong())));
    }

    String dial() {
        return server.dial();
    }

    /** When the node goes on after its standstill, if it stands still at this time; otherwise this time. */
    private long activeFromNanos(long nowNanos) {
        long inPeriodMs = (TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos) + phaseMs) % STAND_EVERY_MS;
        return inPeriodMs < standMs ? nowNanos + TimeUnit.MILLISECONDS.toNanos(standMs - inPeriodMs) : nowNanos;
    }

    private void serve(ScriptedServer.Connection connection, Random random) throws IOException {
        BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
        Thread answerer = new Thread(() -> answer(connection, answers), name);
        answerer.setDaemon(true);
        answerer.start();
        List<Attempt> onConnection = new ArrayList<>();
        try {
            for (String line; (line = connection.readLine()) != null; ) {
                long nowNanos = System.nanoTime();
                Attempt attempt = new Attempt(ScriptedServer.requestId(line), name, nowNanos);
                onConnection.add(attempt);
                attempts.add(attempt);
                int workMs = MIN_WORK_MS + random.nextInt(MAX_WORK_MS - MIN_WORK_MS);
                answers.add(new Answer(attempt, nowNanos + TimeUnit.MILLISECONDS.toNanos(workMs)));
            }
        } finally {
            long endNanos = System.nanoTime();
            answerer.interrupt();
            for (Attempt attempt : onConnection) {
                if (attempt.settledNanos == 0) {
                    attempt.settledNanos = endNanos;
                }
            }
        }
    }

    private void answer(ScriptedServer.Connection connection, BlockingQueue<Answer> answers) {
        try {
            while (true) {
                Answer next = answers.take();
                long dueNanos = activeFromNanos(Math.max(next.dueNanos, System.nanoTime()));
                TimeUnit.NANOSECONDS.sleep(dueNanos - System.nanoTime());
                next.attempt.settledNanos = System.nanoTime();
                connection.send("VA 5 O" + next.attempt.id + " h1\r\nhello\r\n");
            }
        } catch (InterruptedException | IOException e) {
            // the connection has ended
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
