package cacheproxy.placement;

import java.util.List;

/** The kinds of placement by their names in the daemon's configuration. */
public final class PlacementRegistry {
    /** {@link CarpPlacement}. */
    public static final String CARP = "carp";

    /** {@link NginxHashPlacement}. */
    public static final String NGINX_HASH = "nginx-hash";

    /** {@link NginxConsistentPlacement}. */
    public static final String NGINX_CONSISTENT = "nginx-consistent";

    private PlacementRegistry() {}

    /**
     * Returns the factory of a kind of placement.
     *
     * @param name the kind's name in the configuration
     * @param targets the servers that may be ready, in the configuration's order
     * @throws IllegalArgumentException if the name is unknown
     */
    public static PlacementFactory factory(String name, List<PlacementTarget> targets) {
        return switch (name) {
            case CARP -> CarpPlacement::new;
            case NGINX_HASH -> NginxHashPlacement.factory(targets);
            case NGINX_CONSISTENT -> NginxConsistentPlacement.factory(targets);
            default -> throw new IllegalArgumentException("unknown placement: " + name);
        };
    }
}
