package cacheproxy.policy;

/** Where servers' load reports come from. */
public enum LoadReportSource {
    /** Servers send no load reports. */
    NONE,
    /** Responses and probe results carry them. */
    WITH_ANSWERS,
    /** Only probe results carry them. */
    BY_PROBE
}
