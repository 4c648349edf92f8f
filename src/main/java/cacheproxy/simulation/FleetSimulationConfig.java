package cacheproxy.simulation;

import cacheproxy.policy.DeduplicationScope;
import cacheproxy.policy.Idempotency;
import cacheproxy.policy.LoadReportSource;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.ServiceClass;
import cacheproxy.policy.Tenant;
import java.util.List;
import java.util.Set;

/**
 * What a {@link FleetSimulation} plays.
 *
 * @param load what clients ask for, as a part of what all nodes can do; over 0, at most 1.5
 * @param seconds for how long they ask
 * @param seed the same seed gives the same figures
 */
public record FleetSimulationConfig(
        int proxies, int nodes, int zones, double load, double seconds, Set<SimulatedFault> troubles, long seed) {
    static final int READ = 0;
    static final int WRITE = 1;

    /** @throws IllegalArgumentException if a figure is out of its range, naming it */
    public FleetSimulationConfig {
        if (proxies < 1 || nodes < 1 || zones < 1 || proxies > 10_000 || nodes > 10_000 || zones > 100) {
            throw new IllegalArgumentException("a fleet of " + proxies + " proxies, " + nodes + " nodes, " + zones
                    + " zones: each must be at least 1, and at most 10,000, 10,000 and 100");
        }
        if (!(load > 0 && load <= 1.5) || !(seconds > 0 && seconds <= 3600)) {
            throw new IllegalArgumentException("load " + load + " must be over 0 and at most 1.5, seconds " + seconds
                    + " over 0 and at most 3600");
        }
        troubles = Set.copyOf(troubles);
    }

    /** What a proxy of this fleet is told: the slowest warm-up that the first users' settings allow, and no probes. */
    PolicySettings settings(int me) {
        List<ServiceClass> classes = List.of(
                new ServiceClass("read", Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 1, 0.2, false),
                new ServiceClass(
                        "write", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL, 0, 300, 1000, 5, 0.2, false));
        return new PolicySettings(
                me,
                proxies,
                me % zones,
                zones,
                2,
                false,
                true,
                1,
                LoadReportSource.NONE,
                List.of(),
                false,
                0.1,
                true,
                false,
                false,
                true,
                true,
                3,
                500,
                100,
                500,
                20,
                0.3,
                8000,
                3,
                1500,
                0,
                0,
                0,
                classes,
                List.of(new Tenant("all", 1, 100)));
    }
}
