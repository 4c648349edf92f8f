package cacheproxy.policy;

/** Where servers' load reports come from. */
public enum LoadReportSource {
    /** There are none. */
    NONE,
    /** Responses and probe results carry them. */
    WITH_ANSWERS,
    /** Only probe results carry them. */
    BY_PROBE
}
