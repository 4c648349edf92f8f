package cacheproxy.lifecycle;

/** The phases of a serving process. A process starts {@link #ACTIVE}; {@link #SHUTTING_DOWN} is final. */
public enum LifecycleState {
    /** Accepts clients. */
    ACTIVE("active"),
    /** Tells clients to go elsewhere and drains their connections; may become active again. */
    STANDBY("standby"),
    /** Drains its connections and then exits. */
    SHUTTING_DOWN("leaving");

    private final String statusText;

    LifecycleState(String statusText) {
        this.statusText = statusText;
    }

    /** The text that the control address reports; operators' scripts read it. */
    public String statusText() {
        return statusText;
    }
}
