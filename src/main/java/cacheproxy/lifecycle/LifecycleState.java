package cacheproxy.lifecycle;

/** The phases of a serving process. A process starts {@link #ACTIVE}; {@link #SHUTTING_DOWN} is final. */
public enum LifecycleState {
    /** Accepts clients. */
    ACTIVE("active"),
    /** Reports that it accepts no clients and drains their connections; may become active again. */
    STANDBY("standby"),
    /** Drains its connections and then exits. */
    SHUTTING_DOWN("leaving");

    private final String statusText;

    LifecycleState(String statusText) {
        this.statusText = statusText;
    }

    /** Returns the text that the control address reports; operators' scripts read it. */
    public String statusText() {
        return statusText;
    }
}
