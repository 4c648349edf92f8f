package cacheproxy.proxy.discovery;

/** The version of the endpoint list that this proxy has, and the version from which it requests changes. */
final class ListVersion {
    private long version;
    /** Whether the last response was older than the list held, so that the next poll requests the complete list. */
    private boolean completeListNeeded;

    /** The version held; 0 if there is no list. */
    long held() {
        return version;
    }

    /** The version since which to request changes; 0 requests the complete list. */
    long since() {
        return completeListNeeded ? 0 : version;
    }

    /** Sets the version of a list from another source than discovery, or 0 to start again without a list. */
    void reset(long initial) {
        version = initial;
        completeListNeeded = false;
    }

    /**
     * Accepts the version of a response, and returns whether it is newer than the one held. An older version means that
     * the response is late, or that discovery has restarted its numbering. Only a complete list that was requested as
     * such proves the restart, and is then accepted.
     *
     * @throws DiscoveryException if the response must not replace the list held
     */
    boolean accept(EndpointListUpdate update) {
        if (update.version() < version && !(update.complete() && completeListNeeded)) {
            completeListNeeded = update.complete();
            throw new DiscoveryException("version " + update.version() + " after " + version);
        }
        completeListNeeded = false;
        boolean newer = update.version() > version;
        version = update.version();
        return newer;
    }
}
