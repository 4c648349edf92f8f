package cacheproxy.daemon;

import cacheproxy.config.Addresses;
import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.DaemonConfigReader;
import cacheproxy.config.ListenerConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.config.ServerConfig;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.limits.ServerStartTimes;
import cacheproxy.limits.SlowStartBudget;
import cacheproxy.limits.SlowStartConfig;
import cacheproxy.proxy.ClientRegistry;
import cacheproxy.proxy.EventLoopContext;
import cacheproxy.proxy.GracefulShutdown;
import cacheproxy.proxy.Listener;
import cacheproxy.proxy.PollClock;
import cacheproxy.proxy.RequestValidator;
import cacheproxy.proxy.StandardMetaProtocol;
import cacheproxy.proxy.Transport;
import cacheproxy.proxy.UpstreamRegistry;
import cacheproxy.snapshot.state.PoolState;
import cacheproxy.snapshot.state.ServerStart;
import cacheproxy.snapshot.state.StateSnapshot;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The daemon: listeners, routes and pools by one file, which may be replaced under load. A new file is read and its new
 * listeners are bound before anything changes; a file that can't be used changes nothing.
 */
public final class Daemon implements AutoCloseable {
    /** Connections still come so long after SIGTERM, with some room for a slow machine. */
    private static final double LISTEN_ON_MS = 500;

    private static final int OWN_DESCRIPTORS = 64;
    private static final long SWEEP_MS = 250;
    private static final long LEAVE_MS = 20;
    /** Clients are listened for once every pool has its list, or after so long without it. */
    private static final double LIST_WAIT_MS = 3000;
    /** Requests in hand may be sent to servers that a new file lacks for this part of the drain grace. */
    private static final double GRACE_PART = 0.5;

    private final PollClock polls = new PollClock();
    private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, polls.watch(Transport.BEST));
    private final EventLoop loop = group.next();
    private final EventLoopContext core;
    private final ClientRegistry clients;
    private final Router router;
    private final ServerStartTimes births = new ServerStartTimes();
    private final SplittableRandom seeds;
    private final String idPrefix;
    private final AtomicLong ids = new AtomicLong();
    /** By name, with the addresses that the file gives them. */
    private final Map<String, Listener> listeners = new LinkedHashMap<>();

    private final Map<Listener, InetSocketAddress> asked = new HashMap<>();
    private final List<Listener> leavingListeners = new ArrayList<>();
    private final List<Leaving> leavingPools = new ArrayList<>();
    private final List<ConfigSnapshot> older = new ArrayList<>();
    private final CountDownLatch ready = new CountDownLatch(1);
    private SlowStartBudget cold;
    private volatile Runnable reload;
    /** Whose memory counts where there is none of one's own; null: nobody's. Only at the start. */
    private Path seedFrom;

    private final Subsystems parts;
    private final SubsystemContext context;

    /** A pool that no new request comes to. */
    private static final class Leaving {
        final PoolRuntime pool;
        final double graceEndsMs;
        boolean cut;

        Leaving(PoolRuntime pool, double graceEndsMs) {
            this.pool = pool;
            this.graceEndsMs = graceEndsMs;
        }
    }

    private Daemon(DaemonConfig file, long seed) {
        seeds = new SplittableRandom(seed);
        idPrefix = Long.toHexString(seeds.nextLong() & 0xFFFFFFFFFFL | 0x10000000000L);
        int sockets = file.limits().sockets();
        core = new EventLoopContext(
                loop, polls, Transport.BEST.socket(), (long) file.limits().memoryMb() << 20 >> 3, sockets / 3, true);
        core.watchPauses();
        clients = new ClientRegistry(core, Math.max(16, sockets - sockets / 3 - OWN_DESCRIPTORS));
        router = new Router(core);
        parts = new Subsystems(task -> loop.submit(task).syncUninterruptibly(), StandardSubsystems.ALL);
        context = new SubsystemContext(
                core,
                seeds,
                router::generation,
                this::snapshot,
                () -> Optional.ofNullable(seedFrom),
                parts::controlHandlers,
                new DiagnosticEndpoints(core.invariants::summary, core.events::setEnabled, this::reloadElsewhere));
    }

    /** What {@code POST /reload} of the control address does, on a thread of its own. Null: nothing. */
    public void reloadBy(Runnable task) {
        reload = task;
    }

    private boolean reloadElsewhere() {
        Runnable task = reload;
        if (task == null) {
            return false;
        }
        Thread reader = new Thread(task, "reload");
        reader.setDaemon(true);
        reader.start();
        return true;
    }

    /** The subsystem of this class or with this role; null where the file has none. From any thread. */
    public <T> T subsystem(Class<T> role) {
        return parts.get(role);
    }

    /** Starts; the exception says which listener could not be bound. */
    public static Daemon start(DaemonConfig file, long seed) throws ConfigException, InterruptedException {
        return start(file, seed, null);
    }

    /**
     * The same with what a sibling has learned, for what this one remembers nothing of. {@code seedFrom} may be null.
     */
    public static Daemon start(DaemonConfig file, long seed, Path seedFrom)
            throws ConfigException, InterruptedException {
        Daemon daemon = new Daemon(file, seed);
        daemon.seedFrom = seedFrom;
        try {
            daemon.load(file);
        } catch (ConfigException e) {
            daemon.close();
            throw e;
        }
        daemon.seedFrom = null;
        daemon.ready.await();
        daemon.loop
                .submit(() -> {
                    daemon.core.observe(daemon.new Restarts());
                    daemon.loop.scheduleWithFixedDelay(
                            daemon.clients::sweep, SWEEP_MS, SWEEP_MS, TimeUnit.MILLISECONDS);
                    daemon.loop.scheduleWithFixedDelay(daemon::leave, LEAVE_MS, LEAVE_MS, TimeUnit.MILLISECONDS);
                })
                .sync();
        return daemon;
    }

    /** The address of a listener; null if there is none of this name. */
    public InetSocketAddress address(String listener) {
        Listener l =
                loop.submit(() -> listeners.get(listener)).syncUninterruptibly().getNow();
        return l == null ? null : l.address();
    }

    /** Listeners with their addresses. */
    public Map<String, InetSocketAddress> addresses() {
        return loop.submit(() -> {
                    Map<String, InetSocketAddress> map = new LinkedHashMap<>();
                    listeners.forEach((name, l) -> map.put(name, l.address()));
                    return map;
                })
                .syncUninterruptibly()
                .getNow();
    }

    /** Requests in hand, those under older files among them. */
    public int inHand() {
        return loop.submit(() -> router.generation().inHand
                        + older.stream().mapToInt(g -> g.inHand).sum())
                .syncUninterruptibly()
                .getNow();
    }

    /** The event loop's thread, for measurements. */
    public long threadId() {
        return loop.submit(() -> Thread.currentThread().getId())
                .syncUninterruptibly()
                .getNow();
    }

    /** The address of the ICP socket; null where none is configured. */
    public InetSocketAddress icpAddress() {
        return parts.address(SiblingSocket.SECTION).orElse(null);
    }

    /** The control address; null where none is configured. */
    public InetSocketAddress controlAddress() {
        return parts.address(ControlSubsystem.SECTION).orElse(null);
    }

    /** Pools at work, those that are leaving among them; for tests. */
    int poolsAtWork() {
        return loop.submit(() -> router.generation().pools.size() + leavingPools.size())
                .syncUninterruptibly()
                .getNow();
    }

    // ---- files

    /** Reads the file again and goes by it; the exception says what is wrong with it, and all stays as it is. */
    public void reload(Path path) throws ConfigException, InterruptedException {
        load(DaemonConfigReader.read(path));
    }

    /** Not on the event loop: binding waits. */
    public synchronized void load(DaemonConfig file) throws ConfigException, InterruptedException {
        Map<String, Listener> fresh = new HashMap<>();
        List<String> faults = new ArrayList<>();
        for (ListenerConfig l : file.listeners()) {
            Listener standing =
                    loop.submit(() -> listeners.get(l.name())).sync().getNow();
            if (standing != null && l.address().equals(asked.get(standing))) {
                continue;
            }
            Listener listener = new Listener(core, clients, router.from(l.name()), open(file, l));
            fresh.put(l.name(), listener);
            try {
                listener.reserve(l.address());
            } catch (IOException e) {
                faults.add(SocketBinder.fault(file, "listener " + l.name(), l.address(), e));
            }
        }
        if (!faults.isEmpty()) {
            fresh.values().forEach(Listener::close);
            throw ConfigException.of(faults);
        }
        Subsystems.Change change;
        try {
            change = parts.prepare(context, file);
        } catch (ConfigException e) {
            fresh.values().forEach(Listener::close);
            throw e;
        }
        loop.submit(() -> {
                    change.commit();
                    commit(file, fresh);
                    change.closeReplaced();
                })
                .sync();
        change.endReplaced();
    }

    private StandardMetaProtocol open(DaemonConfig file, ListenerConfig l) {
        if (!l.open()) {
            return null;
        }
        String common = (l.tenant() == null ? "" : ",t=" + l.tenant())
                + (l.deadlineMs() == 0 ? "" : ",d=" + Math.round(l.deadlineMs()));
        Set<String> keyed = new HashSet<>();
        file.classes().stream()
                .filter(c -> c.effect() == cacheproxy.policy.PolicyApi.Effect.KEYED)
                .forEach(c -> keyed.add(c.name()));
        return new StandardMetaProtocol(
                "c=" + l.readClass() + common,
                ((l.writeClass() == null ? "" : "c=" + l.writeClass()) + common).replaceFirst("^,", ""),
                keyed,
                () -> idPrefix + Long.toHexString(ids.incrementAndGet()));
    }

    private void commit(DaemonConfig file, Map<String, Listener> fresh) {
        double now = core.now();
        ConfigSnapshot before = router.generation();
        figures(file);
        births(file, before, now);
        LearnedStateSource restored = parts.get(LearnedStateSource.class);
        if (before == null && restored != null) {
            restored.restoreStartTimes(births, now);
        }
        Map<String, PoolRuntime> pools = new LinkedHashMap<>();
        for (PoolConfig p : file.pools().values()) {
            PoolRuntime standing = before == null ? null : before.pools.get(p.name());
            if (standing != null && standing.fits(file, p)) {
                standing.apply(file);
                pools.put(p.name(), standing);
            } else {
                pools.put(
                        p.name(),
                        new PoolRuntime(
                                core,
                                file,
                                p,
                                seeds.nextLong(),
                                cold,
                                births,
                                standing != null
                                        ? LearnedStates.handOver(file, p, standing, now)
                                        : restored == null ? null : restored.recollections(file, p),
                                parts));
            }
        }
        router.use(new ConfigSnapshot(file, pools, new RequestValidator(core, file.classes(), file.tenants()), parts));
        if (before != null) {
            older.add(before);
            for (PoolRuntime p : before.pools.values()) {
                if (pools.get(p.name) != p) {
                    leavingPools.add(new Leaving(p, now + file.site().drainGraceMs() * GRACE_PART));
                }
            }
        }
        listeners(file, fresh);
    }

    private void figures(DaemonConfig file) {
        SlowStartConfig figures = new SlowStartConfig(
                file.site().startCapacity(),
                file.site().warmUpMs(),
                file.site().fallMs(),
                file.site().proxyCount(),
                file.limits().unknownCapacity());
        if (cold == null) {
            cold = new SlowStartBudget(figures);
        } else {
            cold.setConfig(figures);
        }
        for (PoolConfig p : file.pools().values()) {
            PoolSettings.all(p).forEach(s -> cold.setServerRate(s.id(), s.capacity()));
        }
    }

    /** Servers that this file names and the one before did not have just come. */
    private void births(DaemonConfig file, ConfigSnapshot before, double now) {
        Set<Integer> present = new HashSet<>();
        Set<Integer> warm = new HashSet<>();
        for (PoolConfig p : file.pools().values()) {
            PoolSettings.all(p).stream().filter(s -> !s.down()).forEach(s -> present.add(s.id()));
            PoolSettings.all(p).stream().filter(ServerConfig::warm).forEach(s -> warm.add(s.id()));
        }
        if (file.site().warmUpMs() > 0) {
            for (PoolConfig p : file.pools().values()) {
                p.servers().stream()
                        .filter(s -> s.backup() && !s.down() && !warm.contains(s.id()) && !inUse(file, s.id()))
                        .forEach(s -> births.addedUnused(s.id()));
            }
        }
        if (before != null) {
            Set<Integer> known = new HashSet<>();
            for (PoolConfig p : before.file.pools().values()) {
                PoolSettings.all(p).stream().filter(s -> !s.down()).forEach(s -> known.add(s.id()));
            }
            present.stream()
                    .filter(s -> !known.contains(s) && !warm.contains(s))
                    .forEach(s -> births.added(s, now));
        }
        births.retainAll(present);
    }

    /** Whether some pool uses a server at all times. */
    private static boolean inUse(DaemonConfig file, int server) {
        return file.pools().values().stream()
                .flatMap(p -> p.servers().stream())
                .anyMatch(s -> s.id() == server && !s.backup());
    }

    private void listeners(DaemonConfig file, Map<String, Listener> fresh) {
        Set<String> named = new HashSet<>();
        for (ListenerConfig l : file.listeners()) {
            named.add(l.name());
            Listener listener = fresh.get(l.name());
            if (listener == null) {
                listeners.get(l.name()).use(router.from(l.name()), open(file, l));
                continue;
            }
            leave(listeners.put(l.name(), listener));
            asked.put(listener, l.address());
        }
        openOnceListed(new ArrayList<>(fresh.values()), core.now() + LIST_WAIT_MS);
        for (String name : List.copyOf(listeners.keySet())) {
            if (!named.contains(name)) {
                leave(listeners.remove(name));
            }
        }
    }

    /** A proxy that does not know its servers yet could only turn clients away. */
    private void openOnceListed(List<Listener> fresh, double latestMs) {
        if (core.now() < latestMs
                && !router.generation().pools.values().stream().allMatch(p -> p.dispatcher.listed())) {
            core.after(5, () -> openOnceListed(fresh, latestMs));
            return;
        }
        int[] left = {fresh.size()};
        for (Listener l : fresh) {
            l.listen().addListener(f -> {
                if (!f.isSuccess()) { // somebody else listens there since it was reserved
                    core.log("listener at " + Addresses.text(l.address()) + ": "
                            + f.cause().getMessage());
                }
                if (--left[0] == 0) {
                    ready.countDown();
                }
            });
        }
        if (fresh.isEmpty()) {
            ready.countDown();
        }
    }

    private void leave(Listener listener) {
        if (listener != null) {
            asked.remove(listener);
            leavingListeners.add(listener);
            listener.drain();
        }
    }

    /** Lets go of what leaves once nothing needs it. */
    private void leave() {
        double now = core.now();
        leavingListeners.removeIf(l -> {
            l.drain();
            return l.empty();
        });
        older.removeIf(g -> {
            if (g.inHand == 0) {
                g.end();
            }
            return g.inHand == 0;
        });
        if (leavingPools.isEmpty()) {
            return;
        }
        Set<Integer> ready = new HashSet<>();
        for (PoolConfig p : router.generation().file.pools().values()) {
            PoolSettings.all(p).stream().filter(s -> !s.down() && !s.drain()).forEach(s -> ready.add(s.id()));
        }
        leavingPools.removeIf(l -> {
            if (l.pool.dispatcher.inHand() == 0 && older.stream().noneMatch(g -> g.uses(l.pool))) {
                l.pool.dispatcher.stop();
                return true;
            }
            if (!l.cut && now >= l.graceEndsMs) {
                l.cut = true;
                l.pool.listOnly(ready::contains);
            }
            return false;
        });
    }

    /** Servers that the file lists and that restart: told by no list, seen on their sockets. */
    private final class Restarts implements UpstreamRegistry.Observer {
        @Override
        public void refused(int server) {
            births.connectionRefused(server);
        }

        @Override
        public void connected(int server) {
            if (births.connectionAccepted(server, core.now())) {
                parts.serverRestarted(server);
                // Not from within the connection's own event: a list retires connections to what has restarted.
                loop.execute(() -> router.generation().pools.values().stream()
                        .filter(p -> p.spec().discovery() == null && p.has(server))
                        .forEach(PoolRuntime::list));
            }
        }
    }

    // ---- the end

    /** Answers what it has, takes nothing new and returns once that is done, or at the longest deadline. */
    public void drain() {
        loop.execute(parts::drain);
        new GracefulShutdown(loop, core, LISTEN_ON_MS, () -> {
                    List.copyOf(listeners.keySet()).forEach(name -> leave(listeners.remove(name)));
                    leave();
                    return leavingListeners.isEmpty();
                })
                .run(() -> router.generation().file.classes().stream()
                        .mapToDouble(c -> c.deadlineMs())
                        .max()
                        .orElse(0));
        parts.finish();
    }

    /** All that is worth remembering, with at most so many hot keys a pool. */
    private StateSnapshot snapshot(int mostKeys) {
        DaemonConfig file = router.generation().file;
        Map<String, PoolState> pools = new LinkedHashMap<>();
        router.generation().pools.forEach((name, p) -> pools.put(name, p.learned(mostKeys)));
        Map<Integer, String> addresses = LearnedStates.addresses(file);
        List<ServerStart> told = new ArrayList<>();
        for (int server : births.knownServers()) {
            double born = births.startMs(server) == ServerStartTimes.NOT_YET_USED_MS ? 0 : births.startMs(server);
            if (addresses.containsKey(server) && (born > 0 || births.isDown(server))) {
                told.add(new ServerStart(server, addresses.get(server), born, births.isDown(server)));
            }
        }
        return new StateSnapshot(file.site().name(), file.site().proxyIndex(), core.now(), 0, pools, told);
    }

    /** Ends at once. */
    @Override
    public void close() {
        loop.submit(() -> {
                    if (router.generation() != null) {
                        router.generation().pools.values().forEach(p -> p.dispatcher.stop());
                        router.generation().end();
                    }
                    older.forEach(ConfigSnapshot::end);
                    parts.close();
                })
                .syncUninterruptibly();
        parts.end();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
