package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.util.List;

/** Builds the placement of one kind for each list of ready servers. */
@FunctionalInterface
public interface PlacementFactory {
    /**
     * Builds a placement.
     *
     * @param members the ready servers in ascending order of their unsigned ids; may be empty
     */
    Placement create(List<Endpoint> members);
}
