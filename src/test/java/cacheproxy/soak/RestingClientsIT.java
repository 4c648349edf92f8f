package cacheproxy.soak;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FakeDiscovery;
import cacheproxy.fakes.ScriptedServer;
import cacheproxy.proxy.net.Transport;
import com.google.gson.JsonObject;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * A soak test of clients that rest, and send just when the proxy ends their connections: processes are ended, put into
 * standby and stopped for a moment. The judge goes by when a command had been sent and when its client's system knew of
 * no end yet.
 *
 * <p>The long form is {@code mvn failsafe:integration-test -Dit.test=RestingClientsIT -Dresting.first=1
 * -Dresting.rounds=50}.
 */
@Timeout(7200)
class RestingClientsIT {
    private static final int FIRST_SEED = Integer.getInteger("resting.first", 1);
    private static final int ROUNDS = Integer.getInteger("resting.rounds", 1);

    /** A command that has been sent for longer was there to be read before the end, whatever stopped the process. */
    private static final double LIMIT_WITH_STOP_MS = 20;
    /** The same where nothing stopped the process. */
    private static final double LIMIT_MS = 5;

    private static final int MAX_PIPELINED = 32;
    /** When the requests in flight are sent before reading ends, and how long they are out; over the time between. */
    private static final int SENT_BEFORE_THE_END_MS = 150;

    /** From then on each connection of that test has a request out. */
    private static final int KEPT_BUSY_FROM_MS = 100;

    private static final int WORK_PAST_THE_END_MS = 200;
    private static final int CROWD = 3200;
    /** So many that a process has room for the crowd. */
    private static final int SOCKETS = 8192;

    /** Between two stops of a series. */
    private static final int SERIES_PAUSE_MS = 40;

    private static final int DRAINED_AFTER_MS = 4050;
    /** From SIGTERM to the earliest SIGKILL: the longest deadline of the classes, and 0.7 s. */
    private static final int EARLIEST_KILL_MS = 1600;

    private static final int NEWCOMERS = 120;
    /** So few that newcomers are accepted only if others make room. */
    private static final int FEW_SOCKETS = 300;

    private static final int BUSY_CONNECTIONS = 4;
    /** Enough for all requests of the busy connections at once. */
    private static final int NODES = 24;

    /** A way in which connections end, and when commands and stops come. Times are after the signal or the call. */
    enum Scenario {
        SIGTERM(120, 470, 620, 0),
        SIGTERM_CROWD(CROWD, 450, 900, 0),
        SIGTERM_STOPPED(50, 490, 640, 490),
        SIGTERM_STOPPED_LONG(50, 440, 660, 450),
        RUN_STOPPED(50, 490, 640, 490),
        RUN_CROWD(1600, 450, 800, 0),
        STANDBY_STOPPED(240, 980, 1150, 1000),
        REMOVED_STOPPED(120, 0, 250, 60),
        EVICTED_STOPPED(150, 300, 500, 380),
        SIGTERM_SERIES(120, 440, 700, 470),
        NEWCOMERS_STOPPED(0, 300, 400, 380);

        final int resting;
        final int sendFromMs;
        final int sendToMs;
        /** About when the process is stopped; 0 for never. */
        final int stopMs;

        Scenario(int resting, int sendFromMs, int sendToMs, int stopMs) {
            this.resting = resting;
            this.sendFromMs = sendFromMs;
            this.sendToMs = sendToMs;
            this.stopMs = stopMs;
        }

        int sockets() {
            return this == EVICTED_STOPPED ? FEW_SOCKETS : SOCKETS;
        }

        boolean isStandby() {
            return this == STANDBY_STOPPED;
        }

        boolean isDaemon() {
            return this == RUN_STOPPED || this == RUN_CROWD || this == REMOVED_STOPPED;
        }

        int stopLengthMs(Random random) {
            return switch (this) {
                case NEWCOMERS_STOPPED, SIGTERM_STOPPED_LONG -> 150;
                case STANDBY_STOPPED -> 100 + random.nextInt(50);
                default -> 60 + random.nextInt(90);
            };
        }
    }

    @TempDir
    private Path folder;

    private final List<AutoCloseable> closeables = new ArrayList<>();

    @AfterEach
    void closeAll() throws Exception {
        for (int i = closeables.size() - 1; i >= 0; i--) {
            closeables.remove(i).close();
        }
    }

    /** Guards against connections that are ended while the system holds requests on them that were not read. */
    @ParameterizedTest
    @EnumSource(value = Scenario.class, mode = EnumSource.Mode.EXCLUDE, names = "NEWCOMERS_STOPPED")
    void answersRequestsThatWereSentBeforeTheirConnectionEnded(Scenario scenario) throws Exception {
        playAll(scenario);
    }

    /** Guards against connections in the accept queue that are reset, with their requests, when listening ends. */
    @Test
    void answersRequestsOfConnectionsThatWaitInTheAcceptQueueWhenListeningEnds() throws Exception {
        playAll(Scenario.NEWCOMERS_STOPPED);
    }

    private void playAll(Scenario scenario) throws Exception {
        for (int seed = FIRST_SEED; seed < FIRST_SEED + ROUNDS; seed++) {
            Random random = new Random(seed * 31L + scenario.name().hashCode());
            SignalTarget proxy =
                    scenario.isDaemon() ? daemon(seed, random) : serve(seed, random, 0, scenario.sockets());
            List<Double> ages;
            try (RestingClients clients = new RestingClients(proxy.port())) {
                play(scenario, proxy, clients, random);
                ages = clients.unansweredAgesMs();
                report(scenario + ", seed " + seed, clients, ages);
                assertThat(clients.sentCommands()).isPositive();
                assertThat(clients.pendingCommands()).as("on open connections").isZero();
                if (scenario.isStandby()) {
                    assertThat(((SoakProxy) proxy).callControl("GET /invariants"))
                            .contains("violations=0 ");
                }
            }
            assertThat(Files.readAllLines(proxy.log()))
                    .noneMatch(line -> line.startsWith("invariant violated") || line.startsWith("fault:"));
            double limitMs = scenario.stopMs == 0 ? LIMIT_MS : LIMIT_WITH_STOP_MS;
            assertThat(ages.stream().filter(age -> age > limitMs))
                    .as("seed %d: requests sent over %.0f ms before their connection ended", seed, limitMs)
                    .isEmpty();
            closeAll();
        }
    }

    /** Guards against commands behind those in flight that the system holds when the proxy ends a busy connection. */
    @ParameterizedTest
    @EnumSource(
            value = Scenario.class,
            names = {"SIGTERM", "STANDBY_STOPPED"})
    void answersCommandBehindThoseInFlightThatWasNotRead(Scenario scenario) throws Exception {
        int readingEndsMs = scenario.isStandby() ? 1800 : 1400;
        Random random = new Random(FIRST_SEED);
        SignalTarget proxy = serve(FIRST_SEED, random, WORK_PAST_THE_END_MS, SOCKETS);
        try (RestingClients clients = new RestingClients(proxy.port())) {
            clients.connect(BUSY_CONNECTIONS);
            long beginNanos = System.nanoTime();
            for (RestingClients.Connection connection : clients.connections()) {
                int number = connection.number * 100;
                for (int atMs = KEPT_BUSY_FROM_MS; atMs < readingEndsMs - SENT_BEFORE_THE_END_MS; atMs += 100) {
                    clients.sendAt(beginNanos + millis(atMs), connection, read(++number));
                }
                for (int i = 0; i < MAX_PIPELINED; i++) {
                    clients.sendAt(
                            beginNanos + millis(readingEndsMs - SENT_BEFORE_THE_END_MS), connection, read(++number));
                }
                clients.sendAt(beginNanos + millis(readingEndsMs - 80), connection, read(++number));
            }
            end(scenario, proxy, random);
            clients.play(beginNanos + millis(DRAINED_AFTER_MS));
            report("behind " + MAX_PIPELINED + ", " + scenario, clients, clients.unansweredAgesMs());
            assertThat(clients.sentCommands()).isGreaterThan((MAX_PIPELINED + 1L) * BUSY_CONNECTIONS);
            assertThat(clients.unansweredAgesMs()).isEmpty();
            assertThat(clients.pendingCommands()).isZero();
        }
    }

    // ---- a play

    private static void play(Scenario scenario, SignalTarget proxy, RestingClients clients, Random random)
            throws Exception {
        clients.connect(scenario.resting);
        List<RestingClients.Connection> resting = List.copyOf(clients.connections());
        long beginNanos = System.nanoTime();
        int spanMicros = (scenario.sendToMs - scenario.sendFromMs) * 1000;
        for (RestingClients.Connection connection : resting) {
            clients.sendAt(
                    beginNanos + millis(scenario.sendFromMs) + micros(random.nextInt(spanMicros)),
                    connection,
                    read(connection.number));
        }
        if (scenario == Scenario.NEWCOMERS_STOPPED || scenario == Scenario.EVICTED_STOPPED) {
            for (int i = 0; i < NEWCOMERS; i++) {
                clients.connectAt(
                        beginNanos + millis(scenario.sendFromMs) + micros(random.nextInt(spanMicros)),
                        clients.add(),
                        read(i));
            }
        }
        end(scenario, proxy, random);
        Thread stops = startStops(scenario, proxy, beginNanos, random);
        clients.play(beginNanos + millis(scenario.isStandby() ? DRAINED_AFTER_MS : EARLIEST_KILL_MS));
        stops.join();
    }

    private static void end(Scenario scenario, SignalTarget proxy, Random random) throws Exception {
        switch (scenario) {
            case STANDBY_STOPPED -> ((SoakProxy) proxy).callControl("POST /standby");
            case REMOVED_STOPPED -> ((DaemonProcess) proxy).replaceListener(SoakProxy.freePort(random));
            case EVICTED_STOPPED -> {}
            default -> proxy.signal("TERM");
        }
    }

    private static Thread startStops(Scenario scenario, SignalTarget proxy, long beginNanos, Random random) {
        int atMs = scenario.stopMs;
        int lengthMs = scenario.stopLengthMs(random);
        Thread thread = new Thread(() -> {
            if (scenario.stopMs > 0) {
                stop(proxy, beginNanos + millis(atMs), lengthMs);
            }
            if (scenario == Scenario.SIGTERM_SERIES) {
                signal(proxy, "TERM");
                signal(proxy, "HUP");
                stop(proxy, beginNanos + millis(atMs + lengthMs + SERIES_PAUSE_MS), lengthMs);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void stop(SignalTarget proxy, long atNanos, int lengthMs) {
        parkUntil(atNanos);
        signal(proxy, "STOP");
        parkUntil(atNanos + millis(lengthMs));
        signal(proxy, "CONT");
    }

    private static void signal(SignalTarget proxy, String name) {
        try {
            proxy.signal(name);
        } catch (IOException | InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    private static void parkUntil(long atNanos) {
        for (long leftNanos; (leftNanos = atNanos - System.nanoTime()) > 0; ) {
            LockSupport.parkNanos(leftNanos);
        }
    }

    private static String read(int number) {
        return "mg 7f" + Integer.toHexString(0x1000 + number) + " v O" + number + " Pc=text,d=900";
    }

    private static long millis(int count) {
        return TimeUnit.MILLISECONDS.toNanos(count);
    }

    private static long micros(int count) {
        return TimeUnit.MICROSECONDS.toNanos(count);
    }

    private static void report(String title, RestingClients clients, List<Double> ages) {
        System.out.printf(
                "resting clients, %s: sent %d, ended without an answer %d, over 5 ms %d, over 20 ms %d, longest %.1f ms%n",
                title,
                clients.sentCommands(),
                ages.size(),
                ages.stream().filter(age -> age > LIMIT_MS).count(),
                ages.stream().filter(age -> age > LIMIT_WITH_STOP_MS).count(),
                ages.stream().mapToDouble(Double::doubleValue).max().orElse(0));
    }

    // ---- processes

    private SignalTarget serve(int seed, Random random, int workMs, int sockets) throws Exception {
        MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        closeables.add(() -> group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly());
        FakeDiscovery discovery = FakeDiscovery.start(group.next());
        closeables.add(discovery);
        ScriptedServer origin = new ScriptedServer(ScriptedServer.Connection::awaitEnd);
        closeables.add(origin);
        discovery.put("origin", origin.dial(), "origin", "up", 0);
        for (int i = 1; i <= NODES; i++) {
            ScriptedServer node = node(workMs);
            closeables.add(node);
            discovery.put("s-%08x".formatted(i), node.dial(), "node", "up", 0);
        }
        JsonObject settings = SoakRound.settings(1);
        SoakProxy proxy = new SoakProxy(0, folder.resolve("seed-" + seed + "-" + random.nextInt()), settings, random);
        closeables.add(proxy);
        proxy.setSockets(sockets);
        proxy.configure(discovery.dial(), discovery.fullList().getAsJsonArray("hosts"));
        proxy.start();
        proxy.awaitReady();
        return proxy;
    }

    private SignalTarget daemon(int seed, Random random) throws Exception {
        ScriptedServer node = node(0);
        closeables.add(node);
        DaemonProcess daemon = new DaemonProcess(
                SoakProxy.freePort(random), folder.resolve("run-" + seed + "-" + random.nextInt()), node.dial());
        closeables.add(daemon);
        return daemon;
    }

    private record Answer(String line, long dueNanos) {}

    /** A node that has every key, and takes this time for each read. */
    private static ScriptedServer node(int workMs) throws Exception {
        return new ScriptedServer(connection -> {
            BlockingQueue<Answer> answers = new LinkedBlockingQueue<>();
            Thread answerer = new Thread(() -> answer(connection, answers));
            answerer.setDaemon(true);
            answerer.start();
            for (String line; (line = connection.readLine()) != null; ) {
                String answer = "VA 5 O" + ScriptedServer.requestId(line) + " h1\r\n" + RestingClients.VALUE + "\r\n";
                answers.add(new Answer(answer, System.nanoTime() + millis(workMs)));
            }
            answerer.interrupt();
        });
    }

    private static void answer(ScriptedServer.Connection connection, BlockingQueue<Answer> answers) {
        try {
            while (true) {
                Answer answer = answers.take();
                parkUntil(answer.dueNanos());
                connection.send(answer.line());
            }
        } catch (InterruptedException | IOException e) {
            // the connection has ended
        }
    }
}
