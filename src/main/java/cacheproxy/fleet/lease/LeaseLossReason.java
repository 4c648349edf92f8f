package cacheproxy.fleet.lease;

/** Why a process stops holding a lease. */
enum LeaseLossReason {
    /** The grant expired before a majority of the voters had renewed it. */
    NOT_RENEWED,
    /** The process has been removed from the list of peers. */
    NOT_A_PEER,
    /** The lease has been removed from the configuration. */
    NOT_CONFIGURED,
    /** The caller asked for it: the process is not eligible at present, or an operator transfers the lease. */
    REQUESTED;

    /**
     * Returns whether the holder releases its grant at the voters; a holder that could not renew its grant leaves it to
     * expire there.
     */
    boolean isReleased() {
        return this != NOT_RENEWED;
    }
}
