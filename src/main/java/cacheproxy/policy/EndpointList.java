package cacheproxy.policy;

import cacheproxy.placement.Placement;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The latest endpoint list: all servers, the ready cache servers with their placement, and the origin. Siblings are
 * listed, but no keys are placed at them.
 */
final class EndpointList {
    private final PolicyEnvironment environment;
    private final PolicySettings settings;
    private final Map<Integer, ServerState> servers = new HashMap<>();

    /** The ready cache servers in ascending order of their unsigned ids, which the placement's indexes refer to. */
    private ServerState[] rankedServers = new ServerState[0];

    private Placement placement;
    private ServerState origin;
    private boolean listReceived;

    EndpointList(PolicyEnvironment environment) {
        this.environment = environment;
        settings = environment.settings();
        placement = environment.placements().create(List.of());
    }

    /**
     * Replaces the list or applies changes to it.
     *
     * @throws IllegalArgumentException if an endpoint is listed twice or has a value out of range
     */
    void update(double nowMs, EndpointListKind kind, List<Endpoint> endpoints) {
        validate(endpoints);
        if (kind != EndpointListKind.CHANGES) {
            Set<Integer> listedIds = new HashSet<>();
            endpoints.forEach(endpoint -> listedIds.add(endpoint.id()));
            servers.values().removeIf(server -> !listedIds.contains(server.id()));
        }
        for (Endpoint endpoint : endpoints) {
            if (endpoint.state() == EndpointState.GONE) {
                servers.remove(endpoint.id());
            } else {
                servers.computeIfAbsent(endpoint.id(), ServerState::new).update(nowMs, endpoint, !listReceived);
            }
        }
        listReceived |= !servers.isEmpty();
        rebuildPlacement();
    }

    private void validate(List<Endpoint> endpoints) {
        Set<Integer> ids = new HashSet<>();
        for (Endpoint endpoint : endpoints) {
            String id = Integer.toUnsignedString(endpoint.id());
            if (!ids.add(endpoint.id())) {
                throw new IllegalArgumentException("member " + id + " is listed twice");
            }
            if (!(endpoint.weight() >= 0) || Float.isInfinite(endpoint.weight())) {
                throw new IllegalArgumentException("member " + id + " has weight " + endpoint.weight());
            }
            if (!isIndex(endpoint.zone(), settings.zoneCount()) || !isIndex(endpoint.kind(), settings.kindCount())) {
                throw new IllegalArgumentException("member " + id + " has a zone or kind out of range: zone "
                        + endpoint.zone() + ", kind " + endpoint.kind());
            }
        }
    }

    private static boolean isIndex(int value, int count) {
        return value >= 0 && value < count;
    }

    private void rebuildPlacement() {
        origin = null;
        List<ServerState> ranked = new ArrayList<>();
        for (ServerState server : servers.values()) {
            if (!server.isReady() || isSibling(server)) {
                continue;
            }
            if (settings.cacheAside() && server.endpoint().kind() == settings.originKind()) {
                origin = server;
            } else {
                ranked.add(server);
            }
        }
        ranked.sort((left, right) -> Integer.compareUnsigned(left.id(), right.id()));
        rankedServers = ranked.toArray(new ServerState[0]);
        placement = environment
                .placements()
                .create(ranked.stream().map(ServerState::endpoint).toList());
        setWeightFractions();
    }

    private void setWeightFractions() {
        double sum = 0;
        for (ServerState server : rankedServers) {
            sum += server.endpoint().weight();
        }
        for (ServerState server : rankedServers) {
            server.setWeightFraction(sum > 0 ? server.endpoint().weight() / sum : 1.0 / rankedServers.length);
        }
    }

    /** Returns the listed server with this id, even if it is draining; null if it is not listed. */
    ServerState server(int serverId) {
        return servers.get(serverId);
    }

    /** Returns all listed servers. */
    Collection<ServerState> servers() {
        return servers.values();
    }

    /** Returns the ready origin of a cache-aside pool; null if there is none. */
    ServerState origin() {
        return origin;
    }

    /** Returns whether a server is the {@link #origin}. */
    boolean isOrigin(ServerState server) {
        return server == origin;
    }

    /** Whether a server is a sibling cache. */
    boolean isSibling(ServerState server) {
        return environment.siblings().isSibling(server.endpoint());
    }

    /** Returns the placement over the ready cache servers. */
    Placement placement() {
        return placement;
    }

    /** Returns the number of ready cache servers. */
    int rankedCount() {
        return rankedServers.length;
    }

    /** Returns a ready cache server by its index in {@link #placement}. */
    ServerState ranked(int index) {
        return rankedServers[index];
    }
}
