package cacheproxy.simulation;

/**
 * What may go wrong in a {@link FleetSimulation}, four seconds after its start. Several may come together. The
 * benchmark prints these names.
 */
public enum SimulatedFault {
    /**
     * Six in ten servers are replaced by new ones under new ids, in two waves four seconds apart; the old ones drain
     * for 5 s.
     */
    RELEASE,
    /** The last quarter of the servers is isolated for 5 s and starts anew after that. */
    ZONE_LOST,
    /**
     * Six in ten proxies are gone, and are back 1.5 to 2 s later with nothing learned. One in ten servers is replaced.
     */
    PROXIES_KILLED,
    /** One in ten servers is replaced, and 3.5 s later a key of one of the new ones draws a quarter of all requests. */
    HOT_KEY_AT_A_COLD_NODE
}
