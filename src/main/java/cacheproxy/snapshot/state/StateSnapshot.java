package cacheproxy.snapshot.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All state that one proxy keeps across restarts, and the rules for which of it is still valid: state of a server is
 * valid for the same process at the same address, state of keys for the same key scheme, and all of it for the same
 * proxy.
 *
 * @param site name of the installation
 * @param proxyNumber the proxy's number in its tier
 * @param writtenMs Unix time at which the snapshot was taken
 * @param generation number of this snapshot among the snapshots of one proxy, from 1
 * @param pools the pools' states by pool name
 * @param serverStarts starts of servers that are in no endpoint list
 */
public record StateSnapshot(
        String site,
        int proxyNumber,
        double writtenMs,
        long generation,
        Map<String, PoolState> pools,
        List<ServerStart> serverStarts) {
    /**
     * Maximum difference between a machine's clock before and after a restart that does not count as a clock set back.
     */
    static final double MAX_CLOCK_DIFFERENCE_MS = 1000;

    /** Server starts in a snapshot older than this are dropped: no server warms up for so long. */
    static final double MAX_START_AGE_MS = 3_600_000;

    /**
     * Maximum fraction of failing servers that is plausible. If more failed, the fault was in the proxy itself or its
     * network.
     */
    static final double MAX_FAILING_FRACTION = 0.7;

    private static final double MS_PER_SECOND = 1000;

    /**
     * Returns the reason why a proxy must not use this snapshot.
     *
     * @param expectedSite the proxy's site
     * @param expectedProxyNumber the proxy's number
     * @param nowMs the current Unix time
     * @param sibling whether the snapshot is provided as the snapshot of another proxy of the site
     * @return the reason, for operators; empty if the snapshot may be used
     */
    public Optional<String> mismatch(String expectedSite, int expectedProxyNumber, double nowMs, boolean sibling) {
        if (!site.equals(expectedSite)) {
            return Optional.of("it is of the site " + site + ", not " + expectedSite);
        }
        if (!sibling && proxyNumber != expectedProxyNumber) {
            return Optional.of("it is of proxy " + proxyNumber + ", not " + expectedProxyNumber
                    + "; a sibling's may be given with --seed-from");
        }
        if (writtenMs > nowMs + MAX_CLOCK_DIFFERENCE_MS) {
            long aheadSeconds = Math.round((writtenMs - nowMs) / MS_PER_SECOND);
            return Optional.of("it was written " + aheadSeconds + " s from now; the clock was set back");
        }
        return Optional.empty();
    }

    /**
     * Returns the state that is still valid for a pool, decayed by the snapshot's age.
     *
     * @param pool the pool's name
     * @param keyScheme the pool's current key scheme
     * @param nowMs the current Unix time
     * @param trust 1 for a proxy's own snapshot, less for another proxy's
     * @param servers the servers on the pool's list
     */
    public LearnedState restore(
            String pool, String keyScheme, double nowMs, double trust, List<CurrentServer> servers) {
        PoolState poolState = pools.get(pool);
        if (poolState == null) {
            return LearnedState.NONE;
        }
        LearnedState learned = poolState.learned();
        LearnedState matching = new LearnedState(
                matchingServers(poolState, servers),
                learned.latency(),
                learned.originLoad(),
                learned.serverLoad(),
                poolState.keyScheme().equals(keyScheme) ? learned.hotKeys() : LearnedState.NONE.hotKeys());
        return StateDecay.decay(matching, Math.max(0, nowMs - writtenMs), trust);
    }

    /**
     * Returns the learned servers that are still the same process at the same address; none if too many of them failed.
     */
    private static List<LearnedServer> matchingServers(PoolState poolState, List<CurrentServer> servers) {
        Map<Integer, CurrentServer> currentById = new HashMap<>();
        servers.forEach(server -> currentById.put(server.id(), server));
        List<LearnedServer> matching = new ArrayList<>();
        for (LearnedServer server : poolState.learned().servers()) {
            CurrentServer current = currentById.get(server.id());
            String address = poolState.addresses().get(server.id());
            if (current != null
                    && current.startMs() == server.startMs()
                    && (address == null || address.equals(current.address()))) {
                matching.add(server);
            }
        }
        long failing = matching.stream().filter(server -> server.failures() > 0).count();
        return failing > MAX_FAILING_FRACTION * servers.size() ? List.of() : matching;
    }

    /**
     * Returns the starts that are recent enough to be relevant, of servers whose address is unchanged.
     *
     * @param nowMs the current Unix time
     * @param addresses the servers' current addresses by id
     */
    public List<ServerStart> serverStarts(double nowMs, Map<Integer, String> addresses) {
        return serverStarts.stream()
                .filter(start ->
                        nowMs - writtenMs < MAX_START_AGE_MS && start.address().equals(addresses.get(start.id())))
                .toList();
    }
}
