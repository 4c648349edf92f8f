package cacheproxy.placement;

import java.util.List;

/** The placements by their names in the daemon's file. */
public final class PlacementRegistry {
    public static final String CARP = "carp";
    public static final String NGINX_HASH = "nginx-hash";
    public static final String NGINX_CONSISTENT = "nginx-consistent";

    private PlacementRegistry() {}

    /** A placement's factory; peers, in the file's order, are those that may be ready. */
    public static Placement.Factory factory(String name, List<PlacementTarget> peers) {
        return switch (name) {
            case CARP -> CarpPlacement::new;
            case NGINX_HASH -> NginxHashPlacement.factory(peers);
            case NGINX_CONSISTENT -> NginxConsistentPlacement.factory(peers);
            default -> throw new IllegalArgumentException("no placement " + name);
        };
    }
}
