package cacheproxy.nginx.importer;

/**
 * A server of a pool of the imported file.
 *
 * @param ringName the name by which the server is placed on a consistent hash ring; null: its name
 * @param dial the server's address; null if it has none, in which case the server is down
 * @param weight 1 or more
 */
record ServerSpec(String name, String ringName, String dial, int weight, boolean backup, boolean down) {
    /** Returns the name that the placement uses for the server. */
    String placementName() {
        return ringName == null ? name : ringName;
    }

    /** Whether requests go to this server while all servers are available. */
    boolean isActive() {
        return !down && !backup;
    }
}
