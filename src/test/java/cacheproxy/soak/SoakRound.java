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
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReferenceArray;
import java.util.concurrent.locks.LockSupport;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;

/**
 * One round of the soak test: proxies in separate processes, in front of faulty servers and with misbehaving clients,
 * while processes are paused, killed, shut down and switched to another discovery, and servers hang, reset, drain and
 * join. All faults overlap and are drawn from one seed; the timing of the machine is not reproducible.
 */
final class SoakRound implements AutoCloseable {
    /**
     * The size of a round.
     *
     * @param releases whether groups of servers restart cold under their ids, and clients retry rejected requests at
     *     once
     */
    record Size(int proxies, int clientsEach, int servers, double seconds, boolean releases) {}

    static final double DRAIN_GRACE_MS = 2000;
    private static final int LATENESS_CHECK_MS = 10;
    private static final double NANOS_PER_MS = 1e6;
    /** Pauses and shutdowns further from a request than this are not part of its explanation. */
    private static final long EXPLANATION_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(3);

    private static final int WARM_UP_REQUESTS = 100;
    /** From the beginning of a server's drain until its next process is ready. */
    private static final long RESTART_MS = 2000;

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
    private final AtomicReferenceArray<Boolean> proxiesUnderFault;
    private final ProxyFaults proxyFaults;
    private final ExecutorService workers = Executors.newCachedThreadPool();
    private final ScheduledExecutorService restartTimer = Executors.newSingleThreadScheduledExecutor();
    private int lastServerNumber;
    private int faultCount;

    SoakRound(long seed, Size size, Path folder) throws Exception {
        this.size = size;
        random = new Random(seed);
        proxiesUnderFault = new AtomicReferenceArray<>(size.proxies());
        proxyFaults = new ProxyFaults(history, this::configure);
        for (int i = 0; i < discoveries.length; i++) {
            discoveries[i] = FakeDiscovery.start(discoveryLoop);
        }
        SoakServer origin = SoakServer.origin(
                "origin", servingLoop, history, new SoakServer.FaultRates(0, 10, 0, 5, 5, 150, 400), random.nextLong());
        servers.add(origin);
        putInDiscovery("origin", origin.dial(), "origin", "up", 0);
        for (int i = 0; i < size.servers(); i++) {
            addServer(0);
        }
        JsonObject settings = settings(size.proxies());
        for (int i = 0; i < size.proxies(); i++) {
            proxies.add(new SoakProxy(i, folder, settings, random));
        }
    }

    /** Returns the settings of a proxy that is one of so many, without its number. */
    static JsonObject settings(int proxies) {
        JsonObject settings = new JsonObject();
        for (String line : SETTINGS) {
            settings.addProperty(line.substring(0, line.indexOf('=')), line.substring(line.indexOf('=') + 1));
        }
        settings.addProperty("balancers", proxies);
        return settings;
    }

    private void putInDiscovery(String name, String dial, String kind, String health, double startMs) {
        for (FakeDiscovery discovery : discoveries) {
            discovery.put(name, dial, kind, health, startMs);
        }
    }

    private void addServer(double startMs) throws InterruptedException {
        String name = "s-%08x".formatted(++lastServerNumber);
        SoakServer server = SoakServer.node(
                name,
                servingLoop,
                history,
                new SoakServer.FaultRates(250, 30, 10, 10, 10, 100, 700),
                random.nextLong());
        servers.add(server);
        putInDiscovery(name, server.dial(), "node", "up", startMs);
    }

    private JsonArray knownHosts() {
        return discoveries[0].fullList().getAsJsonArray("hosts");
    }

    private void configure(SoakProxy proxy, int discovery) throws IOException {
        proxy.configure(discoveries[discovery].dial(), knownHosts());
    }

    /** Runs the round; returns one line for each violation. */
    List<String> run() throws Exception {
        for (SoakProxy proxy : proxies) {
            configure(proxy, 0);
            proxy.start();
        }
        for (SoakProxy proxy : proxies) {
            proxy.awaitReady();
        }
        warmUpServers();
        measureLateness();
        long end = System.nanoTime() + (long) (size.seconds() * 1e9);
        List<Thread> clients = new ArrayList<>();
        for (SoakProxy proxy : proxies) {
            for (int i = 0; i < size.clientsEach(); i++) {
                Thread thread = new Thread(
                        new SoakClient(
                                "c" + proxy.number + "x" + i,
                                proxy.number,
                                proxy.port,
                                history,
                                random.nextLong(),
                                end,
                                size.releases()),
                        "client");
                thread.setDaemon(true);
                thread.start();
                clients.add(thread);
            }
        }
        while (System.nanoTime() < end) {
            LockSupport.parkNanos((long) (random.nextDouble() * 400e6 * 30 / (30 + size.proxies())));
            injectFault();
        }
        for (Thread thread : clients) {
            thread.join();
        }
        workers.shutdown();
        workers.awaitTermination(30, TimeUnit.SECONDS);
        collectProcessErrors();
        return SoakJudge.violations(history, DRAIN_GRACE_MS);
    }

    /**
     * Answers some requests on the servers' event loop before any are judged. Otherwise the first round would load the
     * servers' classes while requests wait, and would record their arrivals late. Uses separate servers and a separate
     * history, so that the round's random sequence does not change.
     */
    private void warmUpServers() throws Exception {
        SoakHistory unjudged = new SoakHistory();
        try (SoakServer node = SoakServer.node("warm", servingLoop, unjudged, SoakServer.FaultRates.NONE, 0);
                SoakServer origin = SoakServer.origin("warm", servingLoop, unjudged, SoakServer.FaultRates.NONE, 0)) {
            node.warmUp(WARM_UP_REQUESTS);
            origin.warmUp(WARM_UP_REQUESTS);
        }
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void measureLateness() {
        long[] last = {System.nanoTime()};
        servingLoop.scheduleWithFixedDelay(
                () -> {
                    long now = System.nanoTime();
                    history.maxLatenessNanos = Math.max(
                            history.maxLatenessNanos, now - last[0] - TimeUnit.MILLISECONDS.toNanos(LATENESS_CHECK_MS));
                    last[0] = now;
                },
                LATENESS_CHECK_MS,
                LATENESS_CHECK_MS,
                TimeUnit.MILLISECONDS);
    }

    private void injectFault() throws Exception {
        faultCount++;
        SoakServer server = servers.get(random.nextInt(servers.size()));
        switch (random.nextInt(size.releases() ? 17 : 14)) {
            case 0, 1, 2 -> injectOnProxy(proxyFaults::pause);
            case 3 -> injectOnProxy(proxyFaults::kill);
            case 4 -> injectOnProxy(proxyFaults::terminate);
            case 5, 6 -> injectOnProxy(proxyFaults::switchDiscovery);
            case 7 -> server.hang(200 + random.nextInt(1800));
            case 8 -> server.resetAll();
            case 9 -> addServer((double) System.currentTimeMillis());
            case 10 -> drain();
            case 11 -> injectByClients(ClientFaults::flood);
            case 12 -> injectByClients(ClientFaults::crowd);
            case 14, 15, 16 -> restartGroup();
            default -> injectOnProxy(proxyFaults::pause);
        }
    }

    /** A fault of one proxy, injected on a worker thread. */
    private interface ProxyFault {
        void inject(SoakProxy proxy, Random random) throws Exception;
    }

    /** Injects a fault that may overlap with any other. */
    private void injectByClients(ProxyFault clientFault) {
        SoakProxy proxy = proxies.get(random.nextInt(proxies.size()));
        Random faultRandom = new Random(random.nextLong());
        workers.execute(() -> {
            try {
                clientFault.inject(proxy, faultRandom);
            } catch (Exception e) {
                history.errors.add("clients of n" + proxy.number + ": " + e);
            }
        });
    }

    private void injectOnProxy(ProxyFault proxyFault) {
        SoakProxy proxy = proxies.get(random.nextInt(proxies.size()));
        long seed = random.nextLong();
        if (!proxiesUnderFault.compareAndSet(proxy.number, null, true)) {
            return;
        }
        workers.execute(() -> {
            try {
                proxyFault.inject(proxy, new Random(seed));
            } catch (Exception e) {
                history.errors.add("n" + proxy.number + ": " + e);
            } finally {
                proxiesUnderFault.set(proxy.number, null);
            }
        });
    }

    /**
     * Lists a server as draining or removed; the server itself keeps running, as is allowed. Three servers are never
     * drained.
     */
    private void drain() {
        List<SoakServer> candidates = servers.stream()
                .filter(server -> !server.name.equals("origin") && !history.drainedNanos.containsKey(server.name))
                .toList();
        if (candidates.size() <= 3) {
            return;
        }
        SoakServer server = candidates.get(random.nextInt(candidates.size()));
        history.drainedNanos.put(server.name, System.nanoTime());
        putInDiscovery(server.name, server.dial(), "node", random.nextBoolean() ? "draining" : "removed", 0);
    }

    /** Restarts a third of the servers that are not drained: they drain, lose their connections, and are back cold. */
    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void restartGroup() {
        List<SoakServer> group = new ArrayList<>(servers.stream()
                .filter(server -> !server.name.equals("origin") && !history.drainedNanos.containsKey(server.name))
                .toList());
        Collections.shuffle(group, random);
        List<SoakServer> restarting = group.subList(0, group.size() / 3);
        restarting.forEach(server -> putInDiscovery(server.name, server.dial(), "node", "draining", 0));
        restartTimer.schedule(() -> restarting.forEach(this::startCold), RESTART_MS, TimeUnit.MILLISECONDS);
    }

    private void startCold(SoakServer server) {
        server.resetAll();
        if (!history.drainedNanos.containsKey(server.name)) {
            putInDiscovery(server.name, server.dial(), "node", "up", (double) System.currentTimeMillis());
        }
    }

    private void collectProcessErrors() throws IOException {
        for (SoakProxy proxy : proxies) {
            if (!proxy.alive()) {
                history.errors.add("n" + proxy.number + " has ended by itself");
                continue;
            }
            String answer = proxy.callControl("GET /invariants");
            if (!answer.contains("violations=0 ")) {
                history.errors.add("n" + proxy.number + " reports violations: " + answer);
            }
        }
        for (SoakProxy proxy : proxies) {
            Files.readAllLines(proxy.log()).stream()
                    .filter(line -> line.startsWith("fault")
                            || line.startsWith("invariant violated")
                            || line.startsWith("request left unanswered")
                            || line.contains("Exception in thread"))
                    .forEach(line -> history.errors.add("n" + proxy.number + " logs: " + line));
        }
    }

    /**
     * Returns the recorded history of the request that a violation names, and its lines in the event logs of the
     * processes; these exist only if CORALBAY_EVENT_LOG is on.
     */
    List<String> explain(String violation) throws IOException {
        Matcher id = REQUEST_ID.matcher(violation);
        List<String> lines = new ArrayList<>();
        if (id.find()) {
            lines.addAll(explainByHistory(id.group()));
            for (SoakProxy proxy : proxies) {
                Files.readAllLines(proxy.log()).stream()
                        .filter(line -> line.contains("id=" + id.group() + " "))
                        .forEach(lines::add);
            }
        }
        return lines;
    }

    /**
     * Returns what clients and servers recorded of a request, and the pauses and shutdowns of its proxy around that
     * time, in milliseconds.
     */
    private List<String> explainByHistory(String id) {
        SoakHistory.Request request = history.requests.get(id);
        if (request == null) {
            return List.of();
        }
        List<String> lines = new ArrayList<>();
        lines.add("began %.1f sent %.1f answered %.1f, deadline %d"
                .formatted(
                        request.writeStartNanos / NANOS_PER_MS,
                        request.sentNanos / NANOS_PER_MS,
                        request.answeredNanos / NANOS_PER_MS,
                        request.deadlineMs));
        history.arrivals.stream()
                .filter(arrival -> arrival.id().equals(id))
                .forEach(arrival -> lines.add("arrived %.1f at %s, deadline %.0f"
                        .formatted(arrival.atNanos() / NANOS_PER_MS, arrival.server(), arrival.deadlineMs())));
        history.outages.stream()
                .filter(outage -> outage.proxy() == request.proxy
                        && Math.abs(outage.fromNanos() - request.sentNanos) < EXPLANATION_WINDOW_NANOS)
                .forEach(outage -> lines.add("pause requested %.1f, in force %.1f, over %.1f"
                        .formatted(
                                outage.fromNanos() / NANOS_PER_MS,
                                outage.inForceNanos() / NANOS_PER_MS,
                                outage.toNanos() / NANOS_PER_MS)));
        history.shutdowns.stream()
                .filter(shutdown -> shutdown.proxy() == request.proxy
                        && Math.abs(shutdown.requestedNanos() - request.sentNanos) < EXPLANATION_WINDOW_NANOS)
                .forEach(shutdown -> lines.add("SIGTERM %.1f, ended %.1f; cut %.1f"
                        .formatted(
                                shutdown.requestedNanos() / NANOS_PER_MS,
                                shutdown.endedNanos() / NANOS_PER_MS,
                                request.cutNanos / NANOS_PER_MS)));
        return lines;
    }

    /** Returns one line that summarizes the round. */
    String summary() {
        String stopped = proxies.stream()
                .map(proxy -> proxy.callControl("GET /invariants"))
                .map(status -> status.replaceAll(".* stopped=(\\d+).*", "$1"))
                .filter(status -> status.matches("\\d+"))
                .collect(Collectors.summingLong(Long::parseLong))
                .toString();
        return "%d requests, %d arrivals, %d faults, %s stopped by guards, own lateness %.0f ms"
                .formatted(
                        history.requests.size(),
                        history.arrivals.size(),
                        faultCount,
                        stopped,
                        history.maxLatenessNanos / 1e6);
    }

    @Override
    public void close() throws Exception {
        workers.shutdownNow();
        restartTimer.shutdownNow();
        for (SoakProxy proxy : proxies) {
            proxy.close();
        }
        for (SoakServer server : servers) {
            server.close();
        }
        for (FakeDiscovery discovery : discoveries) {
            discovery.close();
        }
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
