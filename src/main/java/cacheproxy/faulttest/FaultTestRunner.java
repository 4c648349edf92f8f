package cacheproxy.faulttest;

import cacheproxy.config.ConfigException;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.LeaseStats;
import cacheproxy.faulttest.check.QuotaStats;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.ServiceStats;
import cacheproxy.faulttest.check.Verdict;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.faulttest.scenario.RunValidity;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.proxy.net.Transport;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Plays a scenario: many processes of the program, faults between them, and a verdict on what they did. */
public final class FaultTestRunner {
    /** Processes that are being restarted at the load's end have so long. */
    private static final double LAST_MS = 60_000;

    private FaultTestRunner() {}

    /**
     * What came of a run.
     *
     * @param startSeconds from the first start until all proxies were ready
     * @param residentMb of a proxy, at the load's end: the mean and the most
     * @param datagrams that came through between proxies, their bytes, and how many faults lost
     * @param discoveryCalls since the load began
     * @param watches calls that waited at discovery at the load's end
     * @param tests of nodes since the load began
     */
    @SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
    public record Outcome(
            RunHistory run,
            Verdict verdict,
            RunValidity quality,
            ServiceStats service,
            double startSeconds,
            double[] residentMb,
            long[] datagrams,
            int discoveryCalls,
            int watches,
            int tests,
            int unreached,
            int unsent) {
        private static double loadFromMs(RunHistory run) {
            return run.events().stream()
                    .filter(e -> e.type().equals(Event.LEASE_POLLED))
                    .mapToDouble(Event::timeMs)
                    .findFirst()
                    .orElse(0);
        }

        /** Lines for a person. */
        public List<String> lines() {
            Scenario s = run.scenario();
            double seconds = s.load().seconds();
            List<String> lines = new java.util.ArrayList<>(List.of(
                    String.format(
                            "%d proxies (%s), %d nodes, seed %d, %.0f s; ready after %.1f s; MB each %.0f, at most %.0f",
                            s.proxies(),
                            s.program(),
                            s.servers(),
                            s.seed(),
                            seconds,
                            startSeconds,
                            residentMb[0],
                            residentMb[1]),
                    service.toString(),
                    String.format(
                            "unreached %d, no connection free %d; datagrams a second a proxy %.2f, bytes %.0f, lost by faults %d; "
                                    + "calls to discovery %d, %.2f a second, waiting at the end %d; tests of nodes %d, commands to nodes that stood still %d",
                            unreached,
                            unsent,
                            datagrams[0] / seconds / s.proxies(),
                            datagrams[1] / seconds / s.proxies(),
                            datagrams[2],
                            discoveryCalls,
                            discoveryCalls / seconds,
                            watches,
                            tests,
                            ServiceStats.countSentToStalledServers(run)),
                    String.format(
                            "lag ms: relay p99 %.1f max %.1f, load p99 %.1f, proxies without a fault p99 %.1f; all processors busy %.2f",
                            quality.relayLagP99Ms(),
                            quality.relayLagMaxMs(),
                            quality.scheduleLagP99Ms(),
                            quality.pingP99Ms(),
                            quality.busyShare())));
            for (String duty : s.leases()) {
                List<LeaseStats.Gap> gaps = LeaseStats.gapsWithoutHolder(
                        run,
                        duty,
                        Math.max(100, 2.5 * s.pollMs()),
                        run.events().isEmpty() ? 0 : loadFromMs(run),
                        run.endUs() / 1000.0);
                lines.add(String.format(
                        "duty %s: epochs %d, longest gaps: %s",
                        duty,
                        LeaseStats.countTenures(run, duty),
                        String.join(
                                " ",
                                gaps.stream()
                                        .map(gap ->
                                                String.format("%.0f ms at %.1f s", gap.lengthMs(), gap.fromMs() / 1000))
                                        .toList())));
            }
            LeaseStats.takeoverTimesMs(run)
                    .forEach((kind, gaps) -> lines.add(String.format(
                            "%s of the holder: %d, without another for ms p50 %.0f p99 %.0f max %.0f",
                            kind,
                            gaps.length,
                            gaps[gaps.length / 2],
                            gaps[(gaps.length - 1) * 99 / 100],
                            gaps[gaps.length - 1])));
            if (!s.leases().isEmpty()) {
                lines.add("acts under older epochs, refused where they were received: "
                        + LeaseStats.countRejectedActions(run));
            }
            if (run.scenario().quota() != null && run.scenario().quota().perSecond() > 0) {
                double[] over = QuotaStats.excessByWindow(run);
                lines.add(String.format(
                        "limit: over by %.0f in 100 ms, %.0f in 1 s, %.0f in 10 s; idle while refused %.4f from the fourth second of the load on",
                        over[0], over[1], over[2], QuotaStats.unusedShare(run, 3000)));
            }
            lines.addAll(verdict.lines());
            return lines;
        }
    }

    /**
     * Plays it.
     *
     * @param folder for the history, the schedule as it was played, and each process's files; made if it is not there
     * @param log told of the stages, a line each
     */
    public static Outcome play(Scenario scenario, Path folder, List<Checker> checkers, Consumer<String> log)
            throws IOException, InterruptedException, ConfigException {
        Files.createDirectories(folder);
        Files.writeString(folder.resolve("played.toml"), scenario.toToml());
        Path file = folder.resolve("history.jsonl");
        MultiThreadIoEventLoopGroup relayGroup = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        MultiThreadIoEventLoopGroup loadGroup = new MultiThreadIoEventLoopGroup(1, Transport.BEST.io());
        EventLoop relayLoop = relayGroup.next();
        NetworkLinks links = new NetworkLinks(scenario.targetSelector());
        double startSeconds;
        double[] resident;
        long[] datagrams;
        int calls;
        int watches;
        int tests;
        double[] lags;
        long dropped;
        long relayDropped;
        OpenLoopWorkload load;
        try (AddressSpace space = AddressSpace.take();
                History history = new History(file, scenario);
                DatagramRelay relay = new DatagramRelay(relayLoop, space, scenario.proxies(), links, scenario.seed());
                TcpRelay connections = new TcpRelay(relayLoop, links);
                FakeProcesses standIns = new FakeProcesses(scenario, space, connections, relayLoop, history);
                ProxyProcesses proxies = new ProxyProcesses(scenario, space, folder, history, standIns::known);
                HostLoad machine = new HostLoad()) {
            if (scenario.warmServers()) {
                standIns.warm(scenario.load().keys());
            }
            log.accept("starting " + scenario.proxies() + " proxies");
            long started = System.nanoTime();
            proxies.startAll();
            startSeconds = (System.nanoTime() - started) / 1e9;
            log.accept(String.format(
                    "ready after %.1f s; load for %.0f s",
                    startSeconds, scenario.load().seconds()));
            machine.begin();
            EventLoopLag lag = EventLoopLag.of(relayLoop);
            long[] before = {relay.passed(), relay.bytes(), relay.lost()};
            int callsBefore = standIns.discoveryCalls();
            int testsBefore = standIns.tests();
            load = new OpenLoopWorkload(loadGroup.next(), scenario, proxies.addresses(), history);
            LeasePoller[] asking = new LeasePoller[1];
            try (FaultInjector director = new FaultInjector(
                    scenario,
                    proxies,
                    standIns,
                    links,
                    relayLoop,
                    connections,
                    history,
                    duty -> asking[0] == null ? null : asking[0].holder(duty))) {
                LeasePoller polls = scenario.leases().isEmpty()
                        ? null
                        : LeasePoller.start(
                                loadGroup.next(),
                                space,
                                history,
                                scenario.proxies(),
                                scenario.leases(),
                                scenario.pollMs(),
                                scenario.seed());
                asking[0] = polls; // before the director's thread starts, which reads it
                director.start();
                load.start().get();
                if (polls != null) {
                    polls.stop();
                }
                datagrams =
                        new long[] {relay.passed() - before[0], relay.bytes() - before[1], relay.lost() - before[2]};
                calls = standIns.discoveryCalls() - callsBefore;
                watches = standIns.waitingAtDiscovery();
                tests = standIns.tests() - testsBefore;
                resident = resident(proxies, scenario.proxies());
                director.finish(LAST_MS);
            } catch (java.util.concurrent.ExecutionException e) {
                throw new IOException(e);
            }
            lags = new double[] {
                Math.max(lag.p99Ms(), standIns.lag().p99Ms()),
                Math.max(lag.maxMs(), standIns.lag().maxMs()),
                load.behindP99Ms(),
                machine.busy()
            };
            dropped = history.dropped();
            relayDropped = relay.dropped();
            proxies.endAll();
            history.finish();
        } finally {
            relayGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
            loadGroup.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
        }
        log.accept("checking");
        RunHistory run = History.read(file);
        RunValidity quality = new RunValidity(lags[0], lags[1], lags[2], pulseP99(run), lags[3], dropped, relayDropped);
        return new Outcome(
                run,
                Verdict.of(run, quality.problems(), checkers),
                quality,
                ServiceStats.of(run, 0, Double.MAX_VALUE),
                startSeconds,
                resident,
                datagrams,
                calls,
                watches,
                tests,
                load.unreached(),
                load.unsent());
    }

    /** Checks a history that was written before. The machine's part in it is judged by the empty calls alone. */
    public static Verdict check(Path history, List<Checker> checkers) throws IOException, ConfigException {
        RunHistory run = History.read(history);
        return Verdict.of(run, new RunValidity(0, 0, 0, pulseP99(run), 0, 0, 0).problems(), checkers);
    }

    private static double[] resident(ProxyProcesses proxies, int count) {
        double sum = 0;
        double most = 0;
        int there = 0;
        for (int i = 0; i < count; i++) {
            double mb = proxies.residentKb(i) / 1024.0;
            sum += mb;
            there += mb > 0 ? 1 : 0;
            most = Math.max(most, mb);
        }
        return new double[] {there == 0 ? 0 : sum / there, most};
    }

    /** Of empty calls at proxies that nothing had befallen within a second before. */
    private static double pulseP99(RunHistory run) {
        double[] took = run.events().stream()
                .filter(e -> e.type().equals(Event.PROXY_PINGED)
                        && !run.wasPausedOrDown(
                                e.endpoint(), e.timeUs() - (long) (e.value() * 1000) - 1_000_000, e.timeUs()))
                .mapToDouble(Event::value)
                .sorted()
                .toArray();
        return took.length == 0 ? 0 : took[(took.length - 1) * 99 / 100];
    }

    /** A scenario's faults shrunk to fewer that still break an invariant; null if they don't. */
    public static List<Fault> shrink(
            Scenario scenario, Path folder, List<Checker> checkers, int tries, int runs, Consumer<String> log)
            throws Exception {
        int[] n = {0};
        return new cacheproxy.faulttest.scenario.Shrinker(
                        faults -> {
                            Outcome o = play(
                                    scenario.withFaults(faults), folder.resolve("try" + ++n[0]), checkers, s -> {});
                            boolean broken = o.verdict().invalidReasons().isEmpty()
                                    && o.verdict().violated();
                            log.accept("try " + n[0] + ": " + faults.size() + " faults, "
                                    + (broken ? "broken" : o.verdict().passed() ? "held" : "no verdict"));
                            return broken;
                        },
                        tries,
                        runs)
                .shrink(scenario.faults());
    }
}
