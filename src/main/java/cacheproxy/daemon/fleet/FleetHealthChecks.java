package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.fleet.healthcheck.HealthCheckActions;
import cacheproxy.fleet.healthcheck.HealthCheckCoordinator;
import cacheproxy.fleet.healthcheck.HealthCheckCounts;
import cacheproxy.fleet.healthcheck.HealthCheckMessage;
import cacheproxy.fleet.healthcheck.HealthCheckTiming;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.proxy.dispatch.Dispatcher;
import com.google.gson.JsonObject;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Health checks of ejected servers that one proxy makes for all: passes the decisions of {@link HealthCheckCoordinator}
 * to pools and peers. A check is an empty command of a pool or, if so configured, a client's request.
 */
final class FleetHealthChecks implements FleetProtocol {
    static final byte TOPIC = 2;
    /**
     * How long to wait for a request that can be the check. Shorter than the coordinator's wait for the end of the
     * check.
     */
    private static final double REQUEST_WAIT_MS = 1.5 * Dispatcher.PROBE_TIMEOUT_MS;

    private final FleetContext context;
    private final long firstRequestNumber;
    /** The pools that wait for the result of a server's check. */
    private final Map<Integer, Set<Dispatcher>> waitingPools = new HashMap<>();
    /**
     * If clients' requests are the checks: the servers whose next attempt from this proxy is the check, with the time
     * by which the attempt has to begin.
     */
    private final Map<Integer, Double> armedUntilMs = new HashMap<>();

    private boolean checksByRequests;
    /** Null if the configuration has no shared health checks. */
    private HealthCheckCoordinator coordinator;

    FleetHealthChecks(FleetContext context, long firstRequestNumber) {
        this.context = context;
        this.firstRequestNumber = firstRequestNumber;
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double nowMs) {
        FleetConfig config = file.section(FleetConfig.class);
        if (config.healthCheck() == null) {
            close();
            return;
        }
        checksByRequests = config.healthCheck().byClientRequests();
        HealthCheckTiming timing = new HealthCheckTiming(
                Dispatcher.PROBE_TIMEOUT_MS,
                config.healthCheck().resultTimeoutMs(),
                config.healthCheck().resultTtlMs());
        PeerLink link = context.link();
        List<LeaseHandle> leases =
                config.healthCheckLeases().stream().map(link::lease).toList();
        if (coordinator == null) {
            coordinator = new HealthCheckCoordinator(
                    link.ownId(), firstRequestNumber, timing, leases, new CoordinatorOutbox());
        } else {
            coordinator.update(timing, leases);
        }
    }

    /**
     * Returns checks without a result to their pools, which then make them: a server without a result would stay
     * ejected.
     */
    void close() {
        Map<Integer, Set<Dispatcher>> unfinished = Map.copyOf(waitingPools);
        waitingPools.clear();
        armedUntilMs.clear();
        coordinator = null;
        if (checksByRequests) {
            return; // the pools request a check again with their next request
        }
        unfinished.forEach((server, pools) -> pools.forEach(pool -> pool.probe(server)));
    }

    /**
     * Takes responsibility for a check that a pool has requested. Returns false if the pool has to make the check
     * itself.
     */
    boolean take(Dispatcher pool, int server) {
        if (coordinator == null || checksByRequests) {
            return false;
        }
        addWaitingPool(server, pool);
        // Not at once, as the pool's policy is still running.
        context.execute(() -> {
            if (coordinator != null) {
                coordinator.request(context.nowMs(), server);
            }
        });
        return true;
    }

    private void addWaitingPool(int server, Dispatcher pool) {
        waitingPools.computeIfAbsent(server, newServer -> new HashSet<>()).add(pool);
    }

    /**
     * Returns whether a client's request may be the check of an ejected server. If not, the lease holder's result is
     * requested.
     */
    boolean mayProbe(Dispatcher pool, int server) {
        if (coordinator == null || !checksByRequests) {
            return true;
        }
        if (!armedUntilMs.containsKey(server)) {
            addWaitingPool(server, pool);
            coordinator.request(context.nowMs(), server);
        }
        // The server stays armed until an attempt ends; by then the pool has marked the attempt as its check.
        return armedUntilMs.containsKey(server);
    }

    /** Records the end of an attempt. If the server is armed, the attempt was its check. */
    void attemptEnded(Dispatcher pool, int server, AttemptOutcome outcome) {
        if (armedUntilMs.isEmpty()
                || outcome == AttemptOutcome.CANCELLED
                || outcome == AttemptOutcome.NOT_SENT
                || armedUntilMs.remove(server) == null) {
            return;
        }
        boolean healthy = outcome == AttemptOutcome.OK || outcome == AttemptOutcome.MISS;
        waitingPools.getOrDefault(server, Set.of()).remove(pool); // this pool knows the outcome already
        finishLater(server, healthy);
    }

    private void finishLater(int server, boolean healthy) {
        context.execute(() -> {
            if (coordinator != null) {
                coordinator.finished(context.nowMs(), server, healthy);
            }
        });
    }

    @Override
    public void receive(double nowMs, long from, byte[] payload) {
        HealthCheckMessage message = HealthCheckMessage.decode(payload);
        if (coordinator != null && message != null) {
            coordinator.receive(nowMs, from, message);
        }
    }

    @Override
    public double tick(double nowMs) {
        if (coordinator == null) {
            return Double.POSITIVE_INFINITY;
        }
        armedUntilMs.entrySet().removeIf(armed -> {
            boolean expired = nowMs >= armed.getValue();
            if (expired) {
                // No request came, which says nothing about the server; pools request a check again with their next
                // request.
                waitingPools.remove(armed.getKey());
                coordinator.abandon(armed.getKey());
            }
            return expired;
        });
        return coordinator.tick(nowMs);
    }

    @Override
    public void describe(JsonObject state) {
        if (coordinator != null) {
            HealthCheckCounts counts = coordinator.counts();
            JsonObject json = new JsonObject();
            json.addProperty("own", counts.ownChecks());
            json.addProperty("for_others", counts.checksForOthers());
            json.addProperty("by_word", counts.reportedResults());
            json.addProperty("word_too_late", counts.lateResults());
            json.addProperty("word_of_older_epochs", counts.staleEpochResults());
            state.add("trials", json);
        }
    }

    private final class CoordinatorOutbox implements HealthCheckActions {
        @Override
        public void send(long to, HealthCheckMessage message) {
            context.link().send(to, FleetHealthChecks.this, message.encode());
        }

        @Override
        public boolean startCheck(int server) {
            Optional<Dispatcher> pool = firstPoolWith(server, waitingPools.getOrDefault(server, Set.of()).stream())
                    .or(() -> firstPoolWith(server, context.pools().stream().map(runtime -> runtime.dispatcher)));
            if (pool.isEmpty()) {
                return false;
            }
            if (checksByRequests) {
                armedUntilMs.put(server, context.nowMs() + REQUEST_WAIT_MS);
            } else {
                pool.get().probe(server, outcome -> finishLater(server, outcome == AttemptOutcome.OK));
            }
            return true;
        }

        private static Optional<Dispatcher> firstPoolWith(int server, Stream<Dispatcher> pools) {
            return pools.filter(pool -> pool.address(server) != null).findFirst();
        }

        @Override
        public void reportResult(int server, boolean healthy) {
            Set<Dispatcher> pools = waitingPools.remove(server);
            if (pools != null) {
                // Not at once, as a pool's policy may be running and have requested the check.
                context.execute(() -> pools.forEach(pool -> pool.healthCheckCompleted(server, healthy)));
            }
        }
    }
}
