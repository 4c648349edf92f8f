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
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

/**
 * Puts the faults of a scenario in and takes them back, each at its time. Where two befall the same thing the later one
 * has no effect there; standing still and links add up.
 */
final class FaultInjector implements AutoCloseable {
    private final Scenario scenario;
    private final TargetSelector names;
    private final ProxyProcesses proxies;
    private final FakeProcesses standIns;
    private final NetworkLinks links;
    private final EventLoop relayLoop;
    private final TcpRelay connections;
    private final History history;
    private final ScheduledExecutorService thread = Executors.newSingleThreadScheduledExecutor(r -> {
        Thread t = new Thread(r, "director");
        t.setDaemon(true);
        return t;
    });
    /** Nodes that a fault has taken away or calls draining. */
    private final Set<Integer> nodesDown = new HashSet<>();

    private final List<String> troubles = new ArrayList<>();
    /** Who holds a duty; null: not known. */
    private final UnaryOperator<String> holders;

    private int restarting;

    FaultInjector(
            Scenario scenario,
            ProxyProcesses proxies,
            FakeProcesses standIns,
            NetworkLinks links,
            EventLoop relayLoop,
            TcpRelay connections,
            History history,
            UnaryOperator<String> holders) {
        this.holders = holders;
        this.scenario = scenario;
        names = scenario.targetSelector();
        this.proxies = proxies;
        this.standIns = standIns;
        this.links = links;
        this.relayLoop = relayLoop;
        this.connections = connections;
        this.history = history;
    }

    /** Whatever goes wrong in the faults themselves is told by {@link #finish}. */
    private interface Act {
        void run() throws IOException;
    }

    @SuppressWarnings("FutureReturnValueIgnored") // the timer is never cancelled; what it runs handles its own errors
    private void at(double ms, Act act) {
        thread.schedule(
                () -> {
                    try {
                        act.run();
                    } catch (IOException | RuntimeException e) {
                        troubles.add(e.toString());
                    }
                },
                (long) (ms * 1000),
                TimeUnit.MICROSECONDS);
    }

    /** From now on. */
    void start() {
        for (int n = 0; n < scenario.faults().size(); n++) {
            Fault f = scenario.faults().get(n);
            String id = Integer.toString(n);
            if (f.holderOf().isEmpty()) {
                put(id, f);
            } else {
                at(f.atMs(), () -> put(id, onHolder(f)));
            }
        }
    }

    /** The same from now on, befalling who holds the duty. */
    private Fault onHolder(Fault f) {
        String holder = holders.apply(f.holderOf());
        List<String> who = holder == null ? f.targets() : List.of(holder);
        List<String> rest = new ArrayList<>(names.select("proxies", new SplittableRandom(0)));
        rest.removeAll(who);
        return f.withTimeAndTargets(
                0, who, f.linkPeers().stream().allMatch(t -> t.startsWith("p")) && f.onLinks() ? rest : f.linkPeers());
    }

    private void put(String id, Fault f) {
        if (f.onLinks()) {
            at(f.atMs(), () -> links(id, f, true));
            at(f.endMs(), () -> links(id, f, false));
        } else {
            for (int w = 0; w < f.targets().size(); w++) {
                int index = names.indexOf(f.targets().get(w));
                befall(f, index, f.atMs() + w * f.staggerMs());
            }
            at(
                    f.atMs(),
                    () -> history.add(
                            0,
                            "rig",
                            Event.FAULT_STARTED,
                            id,
                            f.kind().tomlName() + " " + String.join(",", f.targets()),
                            0));
            at(f.endMs(), () -> history.add(0, "rig", Event.FAULT_ENDED, id, "", 0));
        }
    }

    private void links(String id, Fault f, boolean on) {
        if (on) {
            history.add(
                    0,
                    "rig",
                    Event.FAULT_STARTED,
                    id,
                    "link " + String.join(",", f.targets()) + " to " + String.join(",", f.linkPeers()),
                    0);
        }
        relayLoop
                .submit(() -> {
                    if (on) {
                        links.begin(f);
                    } else {
                        links.end(f);
                    }
                    connections.changed();
                })
                .syncUninterruptibly();
        if (!on) {
            history.add(0, "rig", Event.FAULT_ENDED, id, "", 0);
        }
    }

    private void befall(Fault f, int index, double atMs) {
        double endMs = atMs + f.durationMs();
        switch (f.kind()) {
            case PAUSE -> {
                at(atMs, () -> proxies.stop(index));
                at(endMs, () -> proxies.proceed(index));
            }
            case SLOW -> at(atMs, () -> beat(f, index, System.nanoTime() + (long) (f.durationMs() * 1e6)));
            case KILL, TERMINATE ->
                at(atMs, () -> {
                    if (proxies.end(index, f.kind() == Fault.Kind.KILL)) {
                        restarting++;
                        at(
                                f.durationMs(),
                                () -> proxies.again(
                                        index,
                                        f.emptyDisk(),
                                        failed -> at(0, () -> {
                                            restarting--;
                                            if (failed != null) {
                                                throw new IOException(failed);
                                            }
                                            proxies.isUp(index);
                                        })));
                    }
                });
            case SERVER_STALL -> at(atMs, () -> standIns.stall(index - names.proxies(), f.durationMs()));
            case SERVER_KILL -> node(index, atMs, endMs, n -> standIns.kill(n), standIns::revive);
            case SERVER_DRAIN -> node(index, atMs, endMs, n -> standIns.drain(n, true), n -> standIns.drain(n, false));
            default -> throw new IllegalArgumentException(f.kind() + " befalls no process");
        }
    }

    private interface NodeAct {
        void on(int node) throws IOException;
    }

    private void node(int index, double atMs, double endMs, NodeAct begin, NodeAct end) {
        int node = index - names.proxies();
        at(atMs, () -> {
            if (nodesDown.add(node)) {
                begin.on(node);
                at(endMs - atMs, () -> {
                    end.on(node);
                    nodesDown.remove(node);
                });
            }
        });
    }

    /** One beat after another: it runs for its share of each. */
    private void beat(Fault f, int index, long untilNanos) throws IOException {
        proxies.stop(index);
        at(f.cycleMs() * (1 - f.speedShare()), () -> {
            proxies.proceed(index);
            if (System.nanoTime() < untilNanos) {
                at(f.cycleMs() * f.speedShare(), () -> beat(f, index, untilNanos));
            }
        });
    }

    /** Waits until all that was ended is up again; throws if a fault could not be put in or taken back. */
    void finish(double mostMs) throws IOException, InterruptedException {
        long until = System.nanoTime() + (long) (mostMs * 1e6);
        try {
            while (thread.schedule(() -> restarting, 50, TimeUnit.MILLISECONDS).get() > 0) {
                if (System.nanoTime() > until) {
                    throw new IOException(
                            restarting + " proxies were not back " + (int) (mostMs / 1000) + " s after the load's end");
                }
            }
            List<String> told = thread.submit(() -> List.copyOf(troubles)).get();
            if (!told.isEmpty()) {
                throw new IOException("a fault failed: " + told.get(0));
            }
        } catch (java.util.concurrent.ExecutionException e) {
            throw new IOException(e);
        }
    }

    @Override
    public void close() {
        thread.shutdownNow();
    }
}
