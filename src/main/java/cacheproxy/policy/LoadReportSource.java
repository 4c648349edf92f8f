package cacheproxy.policy;

/** Where load reports come from. */
public enum LoadReportSource {
    NONE,
    WITH_ANSWERS,
    BY_PROBE
}
