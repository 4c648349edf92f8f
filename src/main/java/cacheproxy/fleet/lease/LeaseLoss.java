package cacheproxy.fleet.lease;

/**
 * The end of a holder's grant, as planned or as it happened.
 *
 * @param reason the cause, which determines whether the grant is released at the voters
 * @param logText the reason in words, as {@link LeaseListener#lost} receives it
 * @param successor the peer that is to claim the lease next; {@link NameHash#NO_ID} if any may
 */
record LeaseLoss(LeaseLossReason reason, String logText, long successor) {
    static final LeaseLoss NOT_RENEWED =
            new LeaseLoss(LeaseLossReason.NOT_RENEWED, "no majority renewed it in time", NameHash.NO_ID);
    static final LeaseLoss NOT_CONFIGURED =
            new LeaseLoss(LeaseLossReason.NOT_CONFIGURED, "no longer in the configuration", NameHash.NO_ID);

    /**
     * Returns the loss for a process that is no longer a peer; {@code successor} is the first candidate of the new
     * list.
     */
    static LeaseLoss notAPeer(long successor) {
        return new LeaseLoss(LeaseLossReason.NOT_A_PEER, "no longer among the peers", successor);
    }

    /** Returns a loss that the caller has requested, for the given reason. */
    static LeaseLoss requested(String logText, long successor) {
        return new LeaseLoss(LeaseLossReason.REQUESTED, logText, successor);
    }
}
