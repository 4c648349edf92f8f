package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.proxy.net.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One run of a scenario: starts relays, fakes and proxies, applies load and faults, and ends everything. */
final class ScenarioRun implements AutoCloseable {
    /** Limit on the time that proxies still restarting at the end of the load take to become ready. */
    private static final double MAX_LAST_RESTART_MS = 60_000;

    private final Scenario scenario;
    private final Path folder;
    private final Consumer<String> log;
    private final MultiThreadIoEventLoopGroup relayGroup = newGroup();
    private final MultiThreadIoEventLoopGroup loadGroup = newGroup();
    private final EventLoop relayLoop = relayGroup.next();
    private final EventLoop loadLoop = loadGroup.next();
    private final NetworkLinks links;

    /** @param folder directory for the files of each process */
    ScenarioRun(Scenario scenario, Path folder, Consumer<String> log) {
        this.scenario = scenario;
        this.folder = folder;
        this.log = log;
        links = new NetworkLinks(scenario.targetSelector());
    }

    private static MultiThreadIoEventLoopGroup newGroup() {
        return new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
    }

    /** The parts of a run; {@link #play} closes them. */
    private record Resources(
            AddressSpace space,
            History history,
            DatagramRelay datagramRelay,
            TcpRelay tcpRelay,
            FakeProcesses fakes,
            ProxyProcesses proxies,
            HostLoad hostLoad) {}

    /** Counters at one moment of a run. */
    private record Counters(
            long datagrams, long datagramBytes, long lostDatagrams, int discoveryCalls, int healthChecks) {
        static Counters of(Resources resources) {
            return new Counters(
                    resources.datagramRelay.forwarded(),
                    resources.datagramRelay.bytes(),
                    resources.datagramRelay.lost(),
                    resources.fakes.discoveryCalls(),
                    resources.fakes.healthChecks());
        }

        Counters since(Counters before) {
            return new Counters(
                    datagrams - before.datagrams,
                    datagramBytes - before.datagramBytes,
                    lostDatagrams - before.lostDatagrams,
                    discoveryCalls - before.discoveryCalls,
                    healthChecks - before.healthChecks);
        }
    }

    /** Metrics read at the end of the load, while all processes are still running. */
    private record LoadEndMetrics(Counters counters, int waitingWatches, double meanResidentMb, double maxResidentMb) {}

    /** Runs the scenario and writes its history. */
    RunMeasurements play(Path historyFile) throws IOException, InterruptedException {
        try (AddressSpace space = AddressSpace.reserve();
                History history = new History(historyFile, scenario);
                DatagramRelay datagramRelay =
                        new DatagramRelay(relayLoop, space, scenario.proxies(), links, scenario.seed());
                TcpRelay tcpRelay = new TcpRelay(relayLoop, links);
                FakeProcesses fakes = new FakeProcesses(scenario, space, tcpRelay, history);
                ProxyProcesses proxies = new ProxyProcesses(scenario, space, folder, history, fakes::endpointList);
                HostLoad hostLoad = new HostLoad()) {
            return play(new Resources(space, history, datagramRelay, tcpRelay, fakes, proxies, hostLoad));
        }
    }

    private RunMeasurements play(Resources resources) throws IOException, InterruptedException {
        double startSeconds = startProxies(resources);
        resources.hostLoad.start();
        EventLoopLag relayLag = EventLoopLag.of(relayLoop);
        EventLoopLag fakesLag = resources.fakes.lag();
        Counters before = Counters.of(resources);
        OpenLoopWorkload workload =
                new OpenLoopWorkload(loadLoop, scenario, resources.proxies.clientAddresses(), resources.history);
        LoadEndMetrics loadEnd = applyLoadAndFaults(resources, workload);
        Counters counters = loadEnd.counters.since(before);
        RunMeasurements measurements = new RunMeasurements(
                startSeconds,
                loadEnd.meanResidentMb,
                loadEnd.maxResidentMb,
                counters.datagrams,
                counters.datagramBytes,
                counters.lostDatagrams,
                counters.discoveryCalls,
                loadEnd.waitingWatches,
                counters.healthChecks,
                workload.failedConnects(),
                workload.rejectedByConnectionLimit(),
                Math.max(relayLag.p99Ms(), fakesLag.p99Ms()),
                Math.max(relayLag.maxMs(), fakesLag.maxMs()),
                workload.scheduleLagP99Ms(),
                resources.hostLoad.busyShare(),
                resources.history.dropped(),
                resources.datagramRelay.dropped());
        resources.proxies.killAll();
        resources.history.finish();
        return measurements;
    }

    private double startProxies(Resources resources) throws IOException, InterruptedException {
        if (scenario.warmServers()) {
            resources.fakes.fillServerCaches(scenario.load().keys());
        }
        log.accept("starting " + scenario.proxies() + " proxies");
        long startNanos = System.nanoTime();
        resources.proxies.startAll();
        double startSeconds = (System.nanoTime() - startNanos) / 1e9;
        log.accept(String.format(
                "ready after %.1f s; load for %.0f s",
                startSeconds, scenario.load().seconds()));
        return startSeconds;
    }

    private LoadEndMetrics applyLoadAndFaults(Resources resources, OpenLoopWorkload workload)
            throws IOException, InterruptedException {
        LeasePoller poller = scenario.leases().isEmpty()
                ? null
                : LeasePoller.start(loadLoop, resources.space, resources.history, scenario);
        try (FaultInjector injector = new FaultInjector(
                scenario,
                resources.proxies,
                resources.fakes,
                links,
                relayLoop,
                resources.tcpRelay,
                resources.history,
                lease -> poller == null ? null : poller.holder(lease))) {
            injector.start();
            workload.start().get();
            if (poller != null) {
                poller.stop();
            }
            LoadEndMetrics loadEnd = measureLoadEnd(resources);
            injector.finish(MAX_LAST_RESTART_MS);
            return loadEnd;
        } catch (ExecutionException e) {
            throw new IOException(e);
        }
    }

    private LoadEndMetrics measureLoadEnd(Resources resources) {
        Counters counters = Counters.of(resources);
        int waitingWatches = resources.fakes.waitingWatches();
        double sumMb = 0;
        double maxMb = 0;
        int running = 0;
        for (int i = 0; i < scenario.proxies(); i++) {
            double residentMb = resources.proxies.get(i).residentKb() / 1024.0;
            sumMb += residentMb;
            running += residentMb > 0 ? 1 : 0;
            maxMb = Math.max(maxMb, residentMb);
        }
        return new LoadEndMetrics(counters, waitingWatches, running == 0 ? 0 : sumMb / running, maxMb);
    }

    @Override
    public void close() {
        relayGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        loadGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
