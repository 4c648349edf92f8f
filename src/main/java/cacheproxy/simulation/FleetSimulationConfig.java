package cacheproxy.simulation;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.List;
import java.util.Set;

/**
 * What a {@link FleetSimulation} simulates.
 *
 * @param proxies how many there are, 1 to 10,000
 * @param servers how many there are at the start, 1 to 10,000
 * @param zones over which proxies and servers are spread, 1 to 100
 * @param load what clients ask for, as a part of what all servers can do; over 0, at most 4
 * @param durationSeconds for how long clients ask; over 0, at most 3600
 * @param faults that begin four seconds after the start
 * @param seed the same seed gives the same figures
 * @param clientRetries how clients retry
 * @param rollingRestart servers that restart in groups, in addition to the faults
 * @param collapseLoadMultiple see {@link PolicySettings#collapseLoadMultiple}; over 0
 */
public record FleetSimulationConfig(
        int proxies,
        int servers,
        int zones,
        double load,
        double durationSeconds,
        Set<SimulatedFault> faults,
        long seed,
        ClientRetries clientRetries,
        RollingRestart rollingRestart,
        double collapseLoadMultiple) {
    /**
     * How clients retry what was rejected or has failed without an effect.
     *
     * @param maxRetries of a request, 0 to 100
     * @param immediate whether they retry at once rather than after 10 to 80 ms
     */
    public record ClientRetries(int maxRetries, boolean immediate) {
        /** Two retries, each after a delay. */
        public static final ClientRetries DEFAULT = new ClientRetries(2, false);

        /** @throws IllegalArgumentException if the number of retries is out of its range */
        public ClientRetries {
            if (maxRetries < 0 || maxRetries > MAX_CLIENT_RETRIES) {
                throw new IllegalArgumentException(maxRetries + " retries of clients: expected 0 to 100");
            }
        }
    }

    /**
     * Servers that drain in groups, one group every 1.573 s, and are back cold under their ids 7.47 s after they began
     * to drain; beside that, servers that fall silent for 5 s.
     *
     * @param groups how many groups restart, 0 or more
     * @param groupSize servers in a group, 0 or more
     * @param silentServers how many of the servers with the highest ids fall silent 6 s after the first drain, 0 or
     *     more
     */
    public record RollingRestart(int groups, int groupSize, int silentServers) {
        /** No server restarts or falls silent. */
        public static final RollingRestart NONE = new RollingRestart(0, 0, 0);

        /** @throws IllegalArgumentException if a number is negative */
        public RollingRestart {
            if (groups < 0 || groupSize < 0 || silentServers < 0) {
                throw new IllegalArgumentException(groups + " groups of " + groupSize + " and " + silentServers
                        + " silent servers: expected 0 or more");
            }
        }
    }

    /** Index of the class of reads. */
    static final int READ = 0;
    /** Index of the class of writes. */
    static final int WRITE = 1;

    private static final int MAX_PROXIES = 10_000;
    private static final int MAX_SERVERS = 10_000;
    private static final int MAX_ZONES = 100;
    private static final double MAX_LOAD = 4;
    private static final double MAX_DURATION_SECONDS = 3600;
    private static final int MAX_CLIENT_RETRIES = 100;
    private static final double DEFAULT_COLLAPSE_LOAD_MULTIPLE = 3;

    /** A fleet whose servers collapse at three times their capacity, with the usual retries and no rolling restart. */
    public FleetSimulationConfig(
            int proxies,
            int servers,
            int zones,
            double load,
            double durationSeconds,
            Set<SimulatedFault> faults,
            long seed) {
        this(
                proxies,
                servers,
                zones,
                load,
                durationSeconds,
                faults,
                seed,
                ClientRetries.DEFAULT,
                RollingRestart.NONE,
                DEFAULT_COLLAPSE_LOAD_MULTIPLE);
    }

    /** @throws IllegalArgumentException if a figure is out of its range, naming it */
    public FleetSimulationConfig {
        boolean isLarge = proxies > MAX_PROXIES || servers > MAX_SERVERS || zones > MAX_ZONES;
        if (proxies < 1 || servers < 1 || zones < 1 || isLarge) {
            throw new IllegalArgumentException("a fleet of " + proxies + " proxies, " + servers + " nodes, " + zones
                    + " zones: each must be at least 1, and at most 10,000, 10,000 and 100");
        }
        boolean isLoadValid = load > 0 && load <= MAX_LOAD;
        boolean isDurationValid = durationSeconds > 0 && durationSeconds <= MAX_DURATION_SECONDS;
        if (!isLoadValid || !isDurationValid) {
            throw new IllegalArgumentException("load " + load + " must be over 0 and at most 4, seconds "
                    + durationSeconds + " over 0 and at most 3600");
        }
        if (!(collapseLoadMultiple > 0)) {
            throw new IllegalArgumentException(
                    "collapse at " + collapseLoadMultiple + " times the capacity: expected over 0");
        }
        faults = Set.copyOf(faults);
    }

    /**
     * Returns the settings of a proxy of this fleet: the slowest warm-up that the first users' settings allow, and no
     * health checks.
     */
    PolicySettings settings(int instance) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "write", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 5, 0.2, false));
        return PolicySettings.builder()
                .instanceIndex(instance)
                .instanceCount(proxies)
                .zone(instance % zones)
                .zoneCount(zones)
                .kindCount(2)
                .cacheAside(true)
                .originKind(1)
                .overQuotaValueFraction(0.1)
                .cancellationAllowed(true)
                .hedgingAllowed(true)
                .retryAfterAllowed(true)
                .maxAttempts(3)
                .maxRetryAfterMs(500)
                .connectTimeoutMs(100)
                .drainGraceMs(500)
                .responseGraceMs(20)
                .initialCapacityFraction(0.3)
                .warmUpMs(8000)
                .collapseLoadMultiple(collapseLoadMultiple)
                .collapseAfterMs(1500)
                .classes(classes)
                .tenants(List.of(new Tenant("all", 1, 100)))
                .build();
    }
}
