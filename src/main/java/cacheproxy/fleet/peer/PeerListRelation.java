package cacheproxy.fleet.peer;

/** How the peer list of another proxy relates to this one's. */
public enum PeerListRelation {
    /** Both are at the same step of the same change. */
    SAME("same"),
    /** One is a step ahead of the other, which is safe: their majorities intersect. */
    ONE_STEP_APART("a step apart"),
    /** Their majorities need not intersect, so both could grant the same lease. */
    DIFFERENT("different"),
    /** The other proxy has not sent a report recently. */
    UNKNOWN("unknown");

    private final String jsonName;

    PeerListRelation(String jsonName) {
        this.jsonName = jsonName;
    }

    /** Returns the value in the JSON of the control address. */
    public String jsonName() {
        return jsonName;
    }
}
