package cacheproxy.soak;

import cacheproxy.fakes.FakeDiscovery;
import cacheproxy.proxy.net.Transport;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * One round: proxies as processes of their own before servers that misbehave, under clients that do, while processes
 * are stopped, killed, told to end and moved to another discovery, and servers hang, reset, drain and join. All by one
 * seed, overlapping; what the machine adds is its own.
 */
final class SoakRound implements AutoCloseable {
    /** How big a round is. */
    record Size(int proxies, int clientsEach, int servers, double seconds) {}

    static final double DRAIN_GRACE_MS = 2000;
    private static final int BEAT_MS = 10;
    private static final double MS = 1e6;
    /** Stops further from a request than this are not told with it. */
    private static final long EXPLAINED_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int WARM_UP_REQUESTS = 100;
    private static final Pattern REQUEST_ID = Pattern.compile("c\\d+xe?\\d+x\\d+");
    private static final String[] SETTINGS = {
        "locality=0",
        "zones=here",
        "kinds=node,origin",
        "discovery=ask",
        "report.how=silent",
        "report.names=",
        "value-by=request",
        "over-share-worth=0.1",
        "caps.may-cancel=true",
        "caps.may-probe=false",
        "caps.peers=false",
        "caps.second-copies=true",
        "caps.retry-after=true",
        "caps.max-attempts=3",
        "caps.max-retry-after=500.0",
        "caps.connect-timeout=250.0",
        "caps.idle-close=1500.0",
        "caps.streams-per-conn=8",
        "extra.mode=aside",
        "extra.origin-kind=1",
        "guarantees.drain-grace=2000.0",
        "guarantees.grace-to-answer=20.0",
        "guarantees.start-capacity=0.3",
        "guarantees.warm-up=5000.0",
        "guarantees.tip-multiple=3.0",
        "guarantees.fall=1500.0",
        "guarantees.ask-within=10000.0",
        "classes.count=2",
        "classes.0.name=text",
        "classes.0.idempotency=retryable",
        "classes.0.promise=400.0",
        "classes.0.deadline=900.0",
        "classes.0.gain=1.0",
        "classes.0.late-share=0.2",
        "classes.0.stream=false",
        "classes.1.name=fix",
        "classes.1.idempotency=fragile",
        "classes.1.promise=400.0",
        "classes.1.deadline=900.0",
        "classes.1.gain=5.0",
        "classes.1.late-share=0.3",
        "classes.1.stream=false"
    };

    private final Size size;
    private final Random random;
    private final SoakHistory history = new SoakHistory();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(2, Transport.BEST.io());
    private final EventLoop servingLoop = group.next();
    private final EventLoop discoveryLoop = group.next();
    private final FakeDiscovery[] discoveries = new FakeDiscovery[2];
    private final List<SoakServer> servers = new ArrayList<>();
    private final List<SoakProxy> proxies = new ArrayList<>();
    private final AtomicReferenceArray<Boolean> busy;
    private final ProxyFaults proxyFaults;
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private int named;
    private int faults;

    SoakRound(long seed, Size size, Path folder) throws Exception {
        this.size = size;
        random = new Random(seed);
        busy = new AtomicReferenceArray<>(size.proxies());
        proxyFaults = new ProxyFaults(history, this::configure);
        for (int i = 0; i < discoveries.length; i++) {
            discoveries[i] = FakeDiscovery.start(discoveryLoop);
        }
        SoakServer origin = SoakServer.origin(
                "origin", servingLoop, history, new SoakServer.Troubles(0, 10, 0, 5, 5, 150, 400), random.nextLong());
        servers.add(origin);
        list("origin", origin.dial(), "origin", "up", 0);
        for (int i = 0; i < size.servers(); i++) {
            join(0);
        }
        JsonObject settings = new JsonObject();
        for (String line : SETTINGS) {
            settings.addProperty(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1));
        }
        settings.addProperty("balancers", size.proxies());
        for (int i = 0; i < size.proxies(); i++) {
            proxies.add(new SoakProxy(i, folder, settings, random));
        }
    }

    private void list(String name, String dial, String kind, String health, double bornMs) {
        for (FakeDiscovery d : discoveries) {
            d.put(name, dial, kind, health, bornMs);
        }
    }

    private void join(double bornMs) throws InterruptedException {
        String name = "s-%08x".formatted(++named);
        SoakServer server = SoakServer.node(
                name, servingLoop, history, new SoakServer.Troubles(250, 30, 10, 10, 10, 100, 700), random.nextLong());
        servers.add(server);
        list(name, server.dial(), "node", "up", bornMs);
    }

    private JsonArray known() {
        return discoveries[0].whole().getAsJsonArray("hosts");
    }

    private void configure(SoakProxy proxy, int discovery) throws IOException {
        proxy.configure(discoveries[discovery].dial(), known());
    }

    /** Plays it; what was violated, a line each. */
    List<String> play() throws Exception {
        for (SoakProxy p : proxies) {
            configure(p, 0);
            p.start();
        }
        for (SoakProxy p : proxies) {
            p.awaitReady();
        }
        warmUpServers();
        watchLateness();
        long end = System.nanoTime() + (long) (size.seconds() * 1e9);
        List<Thread> clients = new ArrayList<>();
        for (SoakProxy p : proxies) {
            for (int i = 0; i < size.clientsEach(); i++) {
                Thread t = new Thread(
                        new SoakClient("c" + p.number + "x" + i, p.number, p.port, history, random.nextLong(), end),
                        "client");
                t.setDaemon(true);
                t.start();
                clients.add(t);
            }
        }
        while (System.nanoTime() < end) {
            LockSupport.parkNanos((long) (random.nextDouble() * 400e6 * 30 / (30 + size.proxies())));
            fault();
        }
        for (Thread t : clients) {
            t.join();
        }
        workers.shutdown();
        workers.awaitTermination(30, TimeUnit.SECONDS);
        hearProcesses();
        return SoakJudge.violations(history, DRAIN_GRACE_MS);
    }

    /**
     * Answers some requests on the servers' loop before any is judged: else the first round would load the servers'
     * classes while requests wait, and record their arrivals late. By servers and a history of its own, so that no
     * random draw of the round is used up.
     */
    private void warmUpServers() throws Exception {
        SoakHistory unjudged = new SoakHistory();
        try (SoakServer node = SoakServer.node("warm", servingLoop, unjudged, SoakServer.Troubles.NONE, 0);
                SoakServer origin = SoakServer.origin("warm", servingLoop, unjudged, SoakServer.Troubles.NONE, 0)) {
            node.warmUp(WARM_UP_REQUESTS);
            origin.warmUp(WARM_UP_REQUESTS);
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void watchLateness() {
        long[] last = {System.nanoTime()};
        servingLoop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    history.lateNanos =
                            Math.max(history.lateNanos, now - last[0] - TimeUnit.MILLISECONDS.toNanos(BEAT_MS));
                    last[0] = now;
                },
                BEAT_MS,
                BEAT_MS,
                TimeUnit.MILLISECONDS);
    }

    private void fault() throws Exception {
        faults++;
        SoakServer server = servers.get(random.nextInt(servers.size()));
        switch (random.nextInt(12)) {
            case 0, 1, 2 -> onProxy(proxyFaults::pause);
            case 3 -> onProxy(proxyFaults::kill);
            case 4 -> onProxy(proxyFaults::terminate);
            case 5, 6 -> onProxy(proxyFaults::moveDiscovery);
            case 7 -> server.hang(200 + random.nextInt(1800));
            case 8 -> server.resetAll();
            case 9 -> join((double) System.currentTimeMillis());
            case 10 -> drain();
            default -> onProxy(proxyFaults::pause);
        }
    }

    /** What befalls one proxy, on a thread of its own. */
    private interface Trouble {
        void strike(SoakProxy proxy, Random by) throws Exception;
    }

    private void onProxy(Trouble trouble) {
        SoakProxy proxy = proxies.get(random.nextInt(proxies.size()));
        long seed = random.nextLong();
        if (!busy.compareAndSet(proxy.number, null, true)) {
            return;
        }
        workers.execute(() -> {
            try {
                trouble.strike(proxy, new Random(seed));
            } catch (Exception e) {
                history.complaints.add("n" + proxy.number + ": " + e);
            } finally {
                busy.set(proxy.number, null);
            }
        });
    }

    /** A server drains and is gone later; it stays up, as it may. A few always stay. */
    private void drain() {
        List<SoakServer> candidates = servers.stream()
                .filter(s -> !s.name.equals("origin") && !history.leftNanos.containsKey(s.name))
                .toList();
        if (candidates.size() <= 3) {
            return;
        }
        SoakServer server = candidates.get(random.nextInt(candidates.size()));
        history.leftNanos.put(server.name, System.nanoTime());
        list(server.name, server.dial(), "node", random.nextBoolean() ? "draining" : "removed", 0);
    }

    private void hearProcesses() throws IOException {
        for (SoakProxy p : proxies) {
            if (!p.alive()) {
                history.complaints.add("n" + p.number + " has ended by itself");
                continue;
            }
            String told = p.call("GET /invariants");
            if (!told.contains("violations=0 ")) {
                history.complaints.add("n" + p.number + " tells of violations: " + told);
            }
        }
        for (SoakProxy p : proxies) {
            Files.readAllLines(p.log()).stream()
                    .filter(l -> l.startsWith("fault")
                            || l.startsWith("invariant violated")
                            || l.startsWith("request left unanswered")
                            || l.contains("Exception in thread"))
                    .forEach(l -> history.complaints.add("n" + p.number + " logs: " + l));
        }
    }

    /**
     * What the processes' event logs say of a request that a violation names; nothing where CORALBAY_EVENT_LOG is not
     * on.
     */
    List<String> explain(String violation) throws IOException {
        Matcher id = REQUEST_ID.matcher(violation);
        List<String> lines = new ArrayList<>();
        if (id.find()) {
            lines.addAll(explainByHistory(id.group()));
            for (SoakProxy p : proxies) {
                Files.readAllLines(p.log()).stream()
                        .filter(l -> l.contains("id=" + id.group() + " "))
                        .forEach(lines::add);
            }
        }
        return lines;
    }

    /** What clients and servers saw of a request, and the stops of its proxy about that time; milliseconds. */
    private List<String> explainByHistory(String id) {
        SoakHistory.Request request = history.requests.get(id);
        if (request == null) {
            return List.of();
        }
        List<String> lines = new ArrayList<>();
        lines.add("began %.1f sent %.1f answered %.1f, deadline %d"
                .formatted(
                        request.beganNanos / MS, request.sentNanos / MS, request.answeredNanos / MS, request.waitMs));
        history.arrivals.stream()
                .filter(a -> a.id().equals(id))
                .forEach(a ->
                        lines.add("arrived %.1f at %s, told %.0f".formatted(a.atNanos() / MS, a.server(), a.toldMs())));
        history.outages.stream()
                .filter(o ->
                        o.proxy() == request.proxy && Math.abs(o.fromNanos() - request.sentNanos) < EXPLAINED_NANOS)
                .forEach(o -> lines.add("stop asked for %.1f, in force %.1f, over %.1f"
                        .formatted(o.fromNanos() / MS, o.inForceNanos() / MS, o.toNanos() / MS)));
        history.endings.stream()
                .filter(e ->
                        e.proxy() == request.proxy && Math.abs(e.askedNanos() - request.sentNanos) < EXPLAINED_NANOS)
                .forEach(e -> lines.add("SIGTERM %.1f, ended %.1f; cut %.1f"
                        .formatted(e.askedNanos() / MS, e.endedNanos() / MS, request.cutNanos / MS)));
        return lines;
    }

    /** What was played, in a line. */
    String summary() {
        String stopped = proxies.stream()
                .map(p -> p.call("GET /invariants"))
                .map(s -> s.replaceAll(".* stopped=(\\d+).*", "$1"))
                .filter(s -> s.matches("\\d+"))
                .collect(Collectors.summingLong(Long::parseLong))
                .toString();
        return "%d requests, %d arrivals, %d faults, %s stopped by guards, own lateness %.0f ms"
                .formatted(history.requests.size(), history.arrivals.size(), faults, stopped, history.lateNanos / 1e6);
    }

    @Override
    public void close() throws Exception {
        workers.shutdownNow();
        for (SoakProxy p : proxies) {
            p.close();
        }
        for (SoakServer s : servers) {
            s.close();
        }
        for (FakeDiscovery d : discoveries) {
            d.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
