package cacheproxy.nginx.importer;

/**
 * A server of a pool to be written.
 *
 * @param ringName the name by which it is placed on a consistent hash ring; null: its name
 * @param dial its address; null if it has none, it is down then
 * @param weight 1 or more
 */
record ServerSpec(String name, String ringName, String dial, int weight, boolean backup, boolean down) {
    /** The name by which it is placed. */
    String placementName() {
        return ringName == null ? name : ringName;
    }

    /** Whether requests go to it while all servers are well. */
    boolean isActive() {
        return !down && !backup;
    }
}
