package cacheproxy.soak;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FakeDiscovery;
import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.net.Transport;
import cacheproxy.soak.PipelinedReader.Connection;
import cacheproxy.soak.PipelinedReader.Read;
import cacheproxy.soak.StandingNode.Attempt;
import com.google.gson.JsonObject;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.channels.ClosedByInterruptException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A soak test of how connections end. Processes go into standby and are restarted as planned, under clients that always
 * have requests out, more than a connection may have in flight; nodes stand still, where a request may be out at one
 * server only; and the origin answers some writes with noise. The judge goes by what clients and servers saw.
 *
 * <p>The long form is {@code mvn failsafe:integration-test -Dit.test=ConnectionEndsIT -Dends.first=1 -Dends.rounds=20
 * -Dends.seconds=60}.
 */
class ConnectionEndsIT {
    private static final int FIRST_SEED = Integer.getInteger("ends.first", 1);
    private static final int ROUNDS = Integer.getInteger("ends.rounds", 1);
    private static final int SECONDS = Integer.getInteger("ends.seconds", 24);
    private static final int PROXIES = 3;
    private static final int NODES = 4;
    private static final int READERS_EACH = 2;

    /** One write in so many gets noise in place of its receipt. */
    private static final int NOISE_ONE_IN = 20;

    /** From SIGTERM to the earliest SIGKILL: the longest deadline of the classes, and 0.7 s. */
    private static final int EARLIEST_KILL_MS = 1600;

    /** When a proxy in standby has to be drained, 50 ms longer on sockets. */
    private static final int DRAINED_AFTER_MS = 4050;

    private static final int STANDBY_MS = 4600;
    /** A request that is younger than this shows that its connection was not drained. */
    private static final int RECENT_MS = 2000;
    /** How long the end of a connection may take to be seen by its server. */
    private static final int CLOSE_IN_TRANSIT_MS = 25;

    private static final long SAMPLE_EVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(4);

    private static final double NANOS_PER_MS = 1e6;

    private record Standby(int proxy, long fromNanos, long toNanos) {}

    @TempDir
    private Path folder;

    private final Queue<String> errors = new ConcurrentLinkedQueue<>();
    private final Queue<Connection> connections = new ConcurrentLinkedQueue<>();
    private final BlockingQueue<Attempt> attempts = new LinkedBlockingQueue<>();
    private final Queue<Standby> standbys = new ConcurrentLinkedQueue<>();
    private final AtomicInteger stored = new AtomicInteger();
    private final AtomicInteger writes = new AtomicInteger();
    private final AtomicInteger noises = new AtomicInteger();
    private final AtomicInteger restarts = new AtomicInteger();
    /** The longest time by which a thread of this process was late. */
    private volatile long latenessNanos;

    private final List<AutoCloseable> closeables = new ArrayList<>();

    @Test
    @Timeout(7200)
    void everyRequestThatWasReadIsAnsweredOnceWhileConnectionsEnd() throws Exception {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + ROUNDS; seed++) {
            try {
                play(seed);
            } finally {
                for (int i = closeables.size() - 1; i >= 0; i--) {
                    closeables.remove(i).close();
                }
            }
            List<String> violations = violations();
            System.out.printf(
                    "connection ends, seed %d: %d violations; connections=%d reads=%d attempts=%d stored=%d noises=%d standbys=%d"
                            + " restarts=%d, own lateness %.0f ms%n",
                    seed,
                    violations.size(),
                    connections.size(),
                    connections.stream()
                            .mapToInt(connection -> connection.reads.size())
                            .sum(),
                    attempts.size(),
                    stored.get(),
                    noises.get(),
                    standbys.size(),
                    restarts.get(),
                    latenessNanos / NANOS_PER_MS);
            assertThat(violations).as("seed " + seed).isEmpty();
            assertThat(List.of(stored.get(), noises.get(), standbys.size(), restarts.get()))
                    .as("troubles of seed " + seed)
                    .doesNotContain(0);
        }
    }

    // ---- a round

    private void play(int seed) throws Exception {
        Random random = new Random(seed);
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        closeables.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
        FakeDiscovery discovery = FakeDiscovery.start(group.next());
        closeables.add(discovery);
        ScriptedServer origin = origin();
        closeables.add(origin);
        discovery.put("origin", origin.dial(), "origin", "up", 0);
        for (int i = 1; i <= NODES; i++) {
            String name = "s-%08x".formatted(i);
            StandingNode node = new StandingNode(name, random.nextLong(), attempts);
            closeables.add(node);
            discovery.put(name, node.dial(), "node", "up", 0);
        }
        JsonObject settings = SoakRound.settings(PROXIES);
        settings.addProperty("caps.second-copies", "false");
        List<SoakProxy> proxies = new ArrayList<>();
        for (int i = 0; i < PROXIES; i++) {
            SoakProxy proxy = new SoakProxy(i, folder.resolve("seed-" + seed), settings, random);
            closeables.add(proxy);
            proxies.add(proxy);
            proxy.configure(discovery.dial(), discovery.fullList().getAsJsonArray("hosts"));
            proxy.start();
        }
        for (SoakProxy proxy : proxies) {
            proxy.awaitReady();
        }
        play(seed, proxies, random);
    }

    private void play(int seed, List<SoakProxy> proxies, Random random) throws Exception {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(SECONDS);
        List<Thread> threads = new ArrayList<>();
        for (SoakProxy proxy : proxies) {
            for (int i = 0; i < READERS_EACH; i++) {
                String name = "r" + seed + "x" + proxy.number + "x" + i + "x";
                threads.add(start(new PipelinedReader(name, proxy, endNanos, connections, errors)));
            }
            String name = "w" + seed + "x" + proxy.number + "x";
            threads.add(start(new PipelinedWriter(name, proxy, endNanos, stored, errors)));
            Random faults = new Random(random.nextLong());
            threads.add(start(() -> injectFaults(proxy, faults, endNanos)));
        }
        Thread sampler = start(this::sampleConnections);
        for (Thread thread : threads) {
            thread.join();
        }
        sampler.interrupt();
        sampler.join();
        for (SoakProxy proxy : proxies) {
            String answer = proxy.callControl("GET /invariants");
            if (!answer.contains("violations=0 ") || answer.contains("single_attempt")) {
                errors.add("n" + proxy.number + " reports: " + answer);
            }
        }
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** Records again and again how much the proxies have read, until it is interrupted. */
    private void sampleConnections() {
        try {
            while (!Thread.currentThread().isInterrupted()) {
                long atNanos = System.nanoTime();
                connections.forEach(Connection::beginSample);
                UnreadBytes first = UnreadBytes.look();
                UnreadBytes second = UnreadBytes.look();
                connections.forEach(connection -> connection.endSample(atNanos, first, second));
                long sleepNanos = System.nanoTime();
                LockSupport.parkNanos(SAMPLE_EVERY_NANOS);
                latenessNanos = Math.max(latenessNanos, System.nanoTime() - sleepNanos - SAMPLE_EVERY_NANOS);
            }
        } catch (ClosedByInterruptException e) {
            // the round is over
        } catch (IOException e) {
            errors.add("samples: " + e);
        }
    }

    /** An origin that answers writes with a receipt, and some with noise of several lines. */
    private ScriptedServer origin() throws Exception {
        return new ScriptedServer(connection -> {
            for (String request; (request = connection.readRequest()) != null; ) {
                connection.sendHttp(200, "", request.startsWith("PUT") ? receipt(request) : "hello");
            }
        });
    }

    private String receipt(String request) {
        if (writes.incrementAndGet() % NOISE_ONE_IN != 0) {
            return "w" + ScriptedServer.requestId(request);
        }
        noises.incrementAndGet();
        return "one\r\ntwo\r\nthree\r\n";
    }

    /** Puts the proxy into standby and back, and restarts it as planned, in turn. */
    private void injectFaults(SoakProxy proxy, Random random, long endNanos) {
        try {
            for (int fault = proxy.number; System.nanoTime() < endNanos; fault++) {
                LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(500 + random.nextInt(1000)));
                if (fault % 2 == 0) {
                    standBy(proxy);
                } else {
                    restart(proxy);
                }
            }
        } catch (Exception e) {
            errors.add("n" + proxy.number + ": " + e);
        }
    }

    private void standBy(SoakProxy proxy) {
        proxy.callControl("POST /standby");
        long fromNanos = System.nanoTime();
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(STANDBY_MS));
        standbys.add(new Standby(proxy.number, fromNanos, System.nanoTime()));
        proxy.callControl("POST /active");
    }

    private void restart(SoakProxy proxy) throws Exception {
        long requestedNanos = System.nanoTime();
        proxy.signal("TERM");
        proxy.awaitEndOrKill(requestedNanos + TimeUnit.MILLISECONDS.toNanos(EARLIEST_KILL_MS));
        restarts.incrementAndGet();
        proxy.start();
        proxy.awaitReady();
    }

    // ---- the judge

    private List<String> violations() {
        List<String> violations = new ArrayList<>(errors);
        Map<String, List<Attempt>> byId = new HashMap<>();
        attempts.forEach(attempt ->
                byId.computeIfAbsent(attempt.id, id -> new ArrayList<>()).add(attempt));
        byId.values().forEach(ofRequest -> judgeAttempts(ofRequest, violations));
        connections.forEach(connection -> judgeConnection(connection, violations));
        judgeStandbys(violations);
        return violations;
    }

    /** At no time may a request be out at two servers. */
    private void judgeAttempts(List<Attempt> ofRequest, List<String> violations) {
        for (Attempt earlier : ofRequest) {
            for (Attempt later : ofRequest) {
                long openNanos = later.cameNanos + TimeUnit.MILLISECONDS.toNanos(CLOSE_IN_TRANSIT_MS) + latenessNanos;
                boolean stillOut = earlier.settledNanos == 0 || earlier.settledNanos > openNanos;
                if (earlier.cameNanos < later.cameNanos && stillOut) {
                    violations.add(
                            "second copy: %s came to %s %.1f ms after it had come to %s, where it was out for %.1f ms"
                                    .formatted(
                                            later.id,
                                            later.node,
                                            (later.cameNanos - earlier.cameNanos) / NANOS_PER_MS,
                                            earlier.node,
                                            (earlier.settledNanos - earlier.cameNanos) / NANOS_PER_MS));
                }
            }
        }
    }

    /** What the proxy has read it has to answer, whenever and however it ends the connection. */
    private static void judgeConnection(Connection connection, List<String> violations) {
        long readBytes = connection.readBytes();
        List<Read> lost = connection.reads.stream()
                .filter(read -> read.answeredNanos == 0 && read.endOffset <= readBytes)
                .toList();
        if (!lost.isEmpty()) {
            violations.add("lost: " + lost.size() + " requests that n" + connection.proxy + " had read, such as "
                    + lost.get(0).id);
        }
    }

    private void judgeStandbys(List<String> violations) {
        for (Connection connection : connections) {
            for (Read read : connection.reads) {
                for (Standby standby : standbys) {
                    long afterMs = TimeUnit.NANOSECONDS.toMillis(read.answeredNanos - standby.fromNanos());
                    long ageMs = TimeUnit.NANOSECONDS.toMillis(read.answeredNanos - read.sentNanos);
                    boolean inStandby =
                            read.answeredNanos > standby.fromNanos() && read.answeredNanos < standby.toNanos();
                    if (connection.proxy == standby.proxy()
                            && inStandby
                            && afterMs > DRAINED_AFTER_MS
                            && ageMs < RECENT_MS) {
                        violations.add("not drained: " + read.id + " of n" + connection.proxy + " was answered "
                                + afterMs + " ms after standby, at the age of " + ageMs + " ms");
                    }
                }
            }
        }
    }
}
