package cacheproxy.placement;

import cacheproxy.policy.Endpoint;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A configured server as nginx's placements use it. Servers that are down keep their fraction of the key space, so that
 * only their own keys move.
 *
 * @param id the server's id as a member
 * @param weight whole weight, 1 or more
 * @param address the address as written in nginx's configuration, from which the server's points on the ring are hashed
 */
public record PlacementTarget(int id, int weight, String address) {
    /** Index of a target that is not among the ready members. */
    static final int NOT_READY = -1;

    /** Returns for each target its index among the members, or {@link #NOT_READY}. */
    static int[] memberIndexes(List<PlacementTarget> targets, List<Endpoint> members) {
        Map<Integer, Integer> indexById = new HashMap<>();
        for (Endpoint member : members) {
            indexById.put(member.id(), indexById.size());
        }
        return targets.stream()
                .mapToInt(target -> indexById.getOrDefault(target.id(), NOT_READY))
                .toArray();
    }
}
