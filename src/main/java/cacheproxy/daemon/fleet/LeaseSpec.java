package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.config.PoolConfig;
import cacheproxy.fleet.lease.VoterSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A lease that this proxy campaigns for.
 *
 * @param leaseMs duration of a grant
 * @param voters number of peers that vote on the lease
 * @param zone zone whose peers take part; null for the peers of all zones
 */
record LeaseSpec(double leaseMs, int voters, String zone) {
    /** Maximum of pools whose watch of discovery is delegated; further pools are watched by each proxy. */
    private static final int MAX_WATCHED_POOLS = 256;

    /**
     * Returns the leases of a configuration by name: first the leases of operators, then those of the fleet's
     * protocols.
     */
    static Map<String, LeaseSpec> of(DaemonConfig file) {
        FleetConfig config = file.section(FleetConfig.class);
        Map<String, LeaseSpec> specs = new LinkedHashMap<>();
        config.leases().forEach(lease -> specs.put(lease.name(), new LeaseSpec(lease.leaseMs(), lease.voters(), null)));
        for (String name : config.healthCheckLeases()) {
            specs.put(
                    name,
                    new LeaseSpec(
                            config.healthCheck().leaseMs(), config.healthCheck().voters(), null));
        }
        for (String name : config.quotas().leaseNames()) {
            specs.put(
                    name,
                    new LeaseSpec(config.quotas().leaseMs(), config.quotas().voters(), null));
        }
        if (config.delegatedWatch() != null && !config.peerNames(config.zone()).isEmpty()) {
            for (String pool : watchedPools(file)) {
                specs.put(
                        config.watchLease(pool),
                        new LeaseSpec(
                                config.delegatedWatch().leaseMs(),
                                config.delegatedWatch().voters(),
                                config.zone()));
            }
        }
        return specs;
    }

    /** Returns the names of the pools with discovery, up to the maximum. */
    static List<String> watchedPools(DaemonConfig file) {
        return file.pools().values().stream()
                .filter(pool -> pool.discovery() != null)
                .map(PoolConfig::name)
                .limit(MAX_WATCHED_POOLS)
                .toList();
    }

    /** Returns the voters on the lease of this name. */
    VoterSet voterSet(String name, FleetConfig config) {
        return new VoterSet(name, config.peerNames(zone), config.previousPeerNames(zone), voters);
    }
}
