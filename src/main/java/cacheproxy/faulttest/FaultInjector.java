package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.NetworkLinks;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Begins and ends the faults of a scenario, each at its time. If two faults end or drain the same target, the later one
 * has no effect on it; pauses and link faults accumulate. All state belongs to one thread.
 */
final class FaultInjector implements AutoCloseable {
    private static final int RESTART_POLL_MS = 50;

    private final Scenario scenario;
    private final TargetSelector endpoints;
    private final ProxyProcesses proxies;
    private final FakeProcesses fakes;
    private final NetworkLinks links;
    private final EventLoop relayLoop;
    private final TcpRelay relay;
    private final History history;
    private final UnaryOperator<String> leaseHolders;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(task -> {
        Thread injector = new Thread(task, "fault injector");
        injector.setDaemon(true);
        return injector;
    });
    /** Servers that a fault has killed or is draining. */
    private final Set<Integer> unavailableServers = new HashSet<>();

    private final List<String> failures = new ArrayList<>();
    private int restartingCount;

    /**
     * Makes an injector.
     *
     * @param links used on the relay's event loop only
     * @param leaseHolders returns the holder of a lease, or null if none is known
     */
    FaultInjector(
            Scenario scenario,
            ProxyProcesses proxies,
            FakeProcesses fakes,
            NetworkLinks links,
            EventLoop relayLoop,
            TcpRelay relay,
            History history,
            UnaryOperator<String> leaseHolders) {
        this.scenario = scenario;
        endpoints = scenario.targetSelector();
        this.proxies = proxies;
        this.fakes = fakes;
        this.links = links;
        this.relayLoop = relayLoop;
        this.relay = relay;
        this.history = history;
        this.leaseHolders = leaseHolders;
    }

    /** A step of a fault; {@link #finish} reports the first step that failed. */
    private interface Step {
        void run() throws IOException;
    }

    /** A step of a fault at one target, given by its index. */
    private interface TargetStep {
        void run(int index) throws IOException;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void schedule(double delayMs, Step step) {
        thread.schedule(
                () -> {
                    try {
                        step.run();
                    } catch (IOException | RuntimeException e) {
                        failures.add(e.toString());
                    }
                },
                (long) (delayMs * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** Schedules all faults; their times count from now. */
    void start() {
        for (int i = 0; i < scenario.faults().size(); i++) {
            Fault fault = scenario.faults().get(i);
            String id = Integer.toString(i);
            if (fault.holderOf().isEmpty()) {
                schedule(id, fault);
            } else {
                schedule(fault.atMs(), () -> schedule(id, retargetToHolder(fault)));
            }
        }
    }

    /** Returns the same fault with time 0 and with the current holder of its lease as the target. */
    private Fault retargetToHolder(Fault fault) {
        String holder = leaseHolders.apply(fault.holderOf());
        List<String> targets = holder == null ? fault.targets() : List.of(holder);
        boolean betweenProxies = fault.hitsLinks() && fault.linkPeers().stream().allMatch(name -> name.startsWith("p"));
        if (!betweenProxies) {
            return fault.withTimeAndTargets(0, targets, fault.linkPeers());
        }
        List<String> others = new ArrayList<>(endpoints.select("proxies", new SplittableRandom(0)));
        others.removeAll(targets);
        return fault.withTimeAndTargets(0, targets, others);
    }

    private void schedule(String id, Fault fault) {
        if (fault.hitsLinks()) {
            schedule(fault.atMs(), () -> beginLinkFault(id, fault));
            schedule(fault.endMs(), () -> endLinkFault(id, fault));
            return;
        }
        for (int i = 0; i < fault.targets().size(); i++) {
            int index = endpoints.indexOf(fault.targets().get(i));
            scheduleAtTarget(fault, index, fault.atMs() + i * fault.staggerMs());
        }
        String text = fault.kind().tomlName() + " " + String.join(",", fault.targets());
        schedule(fault.atMs(), () -> recordStart(id, text));
        schedule(fault.endMs(), () -> recordEnd(id));
    }

    private void recordStart(String id, String text) {
        history.add(0, Event.RUNNER, Event.FAULT_STARTED, id, text, 0);
    }

    private void recordEnd(String id) {
        history.add(0, Event.RUNNER, Event.FAULT_ENDED, id, "", 0);
    }

    private void beginLinkFault(String id, Fault fault) {
        recordStart(id, "link " + String.join(",", fault.targets()) + " to " + String.join(",", fault.linkPeers()));
        changeLinks(() -> links.begin(fault));
    }

    private void endLinkFault(String id, Fault fault) {
        changeLinks(() -> links.end(fault));
        recordEnd(id);
    }

    private void changeLinks(Runnable change) {
        relayLoop
                .submit(() -> {
                    change.run();
                    relay.linksChanged();
                })
                .syncUninterruptibly();
    }

    private void scheduleAtTarget(Fault fault, int index, double atMs) {
        double durationMs = fault.durationMs();
        double endMs = atMs + durationMs;
        switch (fault.kind()) {
            case PAUSE -> {
                schedule(atMs, () -> proxies.get(index).pause());
                schedule(endMs, () -> proxies.get(index).resume());
            }
            case SLOW ->
                schedule(atMs, () -> pauseForCycle(fault, index, System.nanoTime() + (long) (durationMs * 1e6)));
            case KILL, TERMINATE -> schedule(atMs, () -> endProxy(fault, index));
            case SERVER_STALL -> schedule(atMs, () -> fakes.stall(index - endpoints.proxies(), durationMs));
            case SERVER_KILL -> scheduleAtServer(index, atMs, endMs, fakes::kill, fakes::restart);
            case SERVER_DRAIN -> scheduleAtServer(index, atMs, endMs, fakes::beginDrain, fakes::endDrain);
            case SERVER_RESTART ->
                scheduleAtServer(index, atMs, endMs, server -> drainAndKill(server, durationMs / 2), fakes::restart);
            default -> throw new IllegalArgumentException(fault.kind() + " does not hit a single process");
        }
    }

    private void endProxy(Fault fault, int proxy) throws IOException {
        if (proxies.get(proxy).end(fault.kind() == Fault.Kind.KILL)) {
            restartingCount++;
            schedule(
                    fault.durationMs(),
                    () -> proxies.restart(
                            proxy, fault.emptyDisk(), failure -> schedule(0, () -> restartFinished(proxy, failure))));
        }
    }

    private void restartFinished(int proxy, Exception failure) throws IOException {
        restartingCount--;
        if (failure != null) {
            throw new IOException(failure);
        }
        proxies.get(proxy).markUp();
    }

    private void scheduleAtServer(int index, double atMs, double endMs, TargetStep begin, TargetStep end) {
        int server = index - endpoints.proxies();
        schedule(atMs, () -> {
            if (unavailableServers.add(server)) {
                begin.run(server);
                schedule(endMs - atMs, () -> {
                    end.run(server);
                    unavailableServers.remove(server);
                });
            }
        });
    }

    private void drainAndKill(int server, double drainMs) {
        fakes.beginDrain(server);
        schedule(drainMs, () -> fakes.kill(server));
    }

    /** Pauses a slowed proxy for a fraction of each cycle, one cycle after another. */
    private void pauseForCycle(Fault fault, int proxy, long untilNanos) throws IOException {
        proxies.get(proxy).pause();
        schedule(fault.cycleMs() * (1 - fault.speedShare()), () -> {
            proxies.get(proxy).resume();
            if (System.nanoTime() < untilNanos) {
                schedule(fault.cycleMs() * fault.speedShare(), () -> pauseForCycle(fault, proxy, untilNanos));
            }
        });
    }

    /** Waits until all proxies are ready again; throws if that takes too long, or if a step of a fault failed. */
    void finish(double maxMs) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + (long) (maxMs * 1e6);
        try {
            while (thread.schedule(() -> restartingCount, RESTART_POLL_MS, TimeUnit.MILLISECONDS)
                            .get()
                    > 0) {
                if (System.nanoTime() > untilNanos) {
                    throw new IOException(restartingCount + " proxies were not ready again " + (int) (maxMs / 1000)
                            + " s after the end of the load");
                }
            }
            List<String> failed = thread.submit(() -> List.copyOf(failures)).get();
            if (!failed.isEmpty()) {
                throw new IOException("a step of a fault failed: " + failed.get(0));
            }
        } catch (ExecutionException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
