package cacheproxy.simulation;

import cacheproxy.placement.CarpPlacement;
import cacheproxy.policy.CarpHash;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicyApi;
import cacheproxy.policy.PolicySettings;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * Many real policies on one virtual clock, in front of servers and an origin that they share. What is harmless in one
 * proxy and harmful in all shows in the sums, which no policy sees. No sockets, no threads, no clock of the system; the
 * same configuration gives the same figures. What is not simulated: connections, stalls, lost responses, load that
 * varies.
 *
 * <p>Clients make up to three attempts unless configured otherwise, each at a proxy of their choice. Each proxy hears
 * of a change in the endpoint list at its own time, one in four late.
 */
public final class FleetSimulation {
    static final double START_MS = 1e6;

    private static final double FAULTS_AFTER_MS = 4000;
    private static final double MIN_RETRY_DELAY_MS = 10;
    private static final double RETRY_DELAY_RANGE_MS = 70;
    private static final double MIN_LIST_DELAY_MS = 700;
    private static final double LIST_DELAY_RANGE_MS = 2400;
    private static final double LATE_LIST_DELAY_MS = 6000;
    private static final int PROXIES_PER_LATE_PROXY = 4;
    /** Part of the keys that are cached at the start, at the server where they are first looked for. */
    private static final double CACHED_FRACTION = 0.92;

    /** Makes the policy of a proxy that starts. */
    public interface PolicyFactory {
        /** Makes a policy that draws its random numbers from the seed. */
        PolicyApi create(PolicySettings settings, long seed);
    }

    private final FleetSimulationConfig config;
    private final PolicyFactory policies;
    private final VirtualClock clock = new VirtualClock(START_MS);
    private final SplittableRandom random;
    /** All servers that ever were, by their ids. */
    private final Map<Integer, SimulatedServer> servers = new TreeMap<>();

    private final SimulatedProxy[] proxies;
    private final SimulatedOrigin origin;
    private final FleetWorkload workload;
    private final FleetMetrics metrics = new FleetMetrics();
    private final double requestsPerMs;
    private int lastRequestId;

    /** @param policies make the policy of each proxy, and another one when a proxy is restarted */
    public FleetSimulation(FleetSimulationConfig config, PolicyFactory policies) {
        this.config = config;
        this.policies = policies;
        random = new SplittableRandom(config.seed());
        workload = new FleetWorkload(random);
        double totalSpeed = 0;
        for (int id = 1; id <= config.servers(); id++) {
            SimulatedServer server = new SimulatedServer(id, config.zones(), 0, config.settings(0));
            servers.put(id, server);
            totalSpeed += server.speed;
        }
        requestsPerMs = config.load() * totalSpeed / SimulatedServer.WORK_MS;
        origin = new SimulatedOrigin(requestsPerMs);
        fillCaches();
        proxies = new SimulatedProxy[config.proxies()];
        for (int index = 0; index < proxies.length; index++) {
            startProxy(index);
        }
    }

    /** Runs the simulation to its end. May be called once. */
    public FleetSimulationResult run() {
        clock.after(0, this::sendRequest);
        clock.after(FAULTS_AFTER_MS, () -> new FleetFaults(this, config).begin());
        clock.run();
        int unanswered = 0;
        for (SimulatedProxy proxy : proxies) {
            unanswered += proxy.unansweredRequests();
        }
        return metrics.result(unanswered, servers.values());
    }

    private void fillCaches() {
        List<SimulatedServer> all = List.copyOf(servers.values());
        CarpPlacement placement =
                new CarpPlacement(all.stream().map(SimulatedServer::endpoint).toList());
        int[] top = new int[1];
        for (long key = FleetWorkload.FIRST_KEY; key <= FleetWorkload.FIRST_KEY + FleetWorkload.KEY_COUNT; key++) {
            placement.rank(key, CarpHash.keyHash(key), 1, top);
            if (random.nextDouble() < CACHED_FRACTION) {
                all.get(top[0]).cache(key);
            }
        }
    }

    /** Starts a proxy, or starts one anew that was killed. */
    void startProxy(int index) {
        PolicySettings settings = config.settings(index);
        proxies[index] = new SimulatedProxy(this, settings, policies.create(settings, random.nextLong()));
        proxies[index].receiveEndpoints(
                EndpointListKind.CACHED,
                servers.values().stream().filter(server -> !server.ended).toList());
    }

    private void sendRequest() {
        metrics.recordRequest();
        send(workload.nextRequest());
        if (clock.nowMs() < START_MS + config.durationSeconds() * 1000) {
            clock.after(-Math.log(1 - random.nextDouble()) / requestsPerMs, this::sendRequest);
        }
    }

    /** Sends a request to a proxy, which must be up; clients are told which ones are. */
    private void send(SimulatedRequest request) {
        int first = random.nextInt(proxies.length);
        for (int i = 0; i < proxies.length; i++) {
            SimulatedProxy proxy = proxies[(first + i) % proxies.length];
            if (!proxy.isKilled()) {
                proxy.receiveRequest(++lastRequestId, request);
                return;
            }
        }
    }

    /** Has the client retry a request after a while, if it has not done so too often. */
    void retry(SimulatedRequest request) {
        FleetSimulationConfig.ClientRetries retries = config.clientRetries();
        if (request.retries() < retries.maxRetries()) {
            double delayMs = retries.immediate() ? 0 : MIN_RETRY_DELAY_MS + random.nextDouble() * RETRY_DELAY_RANGE_MS;
            clock.after(delayMs, () -> send(request.retry()));
        }
    }

    /** Sends changed entries of the endpoint list to the proxies, to each after a delay of its own. */
    void publish(Collection<SimulatedServer> changed) {
        for (int i = 0; i < proxies.length; i++) {
            int index = i;
            boolean late = random.nextInt(PROXIES_PER_LATE_PROXY) == 0;
            double delayMs = late ? LATE_LIST_DELAY_MS : MIN_LIST_DELAY_MS + random.nextDouble() * LIST_DELAY_RANGE_MS;
            clock.after(delayMs, () -> proxies[index].receiveEndpoints(EndpointListKind.CHANGES, changed));
        }
    }

    /** Sends a request to the origin; returns when it will have responded, or NaN if it rejects the request. */
    double sendToOrigin(boolean write) {
        if (!write) {
            metrics.recordOriginRead();
        }
        return origin.admit(clock.nowMs());
    }

    /** Returns the clock of all events. */
    VirtualClock clock() {
        return clock;
    }

    /** Returns the one source of random numbers. */
    SplittableRandom random() {
        return random;
    }

    /** Returns the sums so far. */
    FleetMetrics metrics() {
        return metrics;
    }

    /** Returns what clients ask for. */
    FleetWorkload workload() {
        return workload;
    }

    /** Returns a proxy, which a restart replaces. */
    SimulatedProxy proxy(int index) {
        return proxies[index];
    }

    /** Returns all servers that ever were, in the order of their ids. */
    Collection<SimulatedServer> servers() {
        return servers.values();
    }

    /** Returns a server; null if there is none of this id. */
    SimulatedServer server(int id) {
        return servers.get(id);
    }

    /** Adds a server, which no proxy knows yet. */
    void addServer(SimulatedServer server) {
        servers.put(server.id, server);
    }
}
