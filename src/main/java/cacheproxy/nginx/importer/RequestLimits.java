package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * Bounds on all requests.
 *
 * @param limits keys of the file's {@code [limits]} with their values, in order; only those that nginx sets
 * @param deadlineMs the deadline of requests
 */
record RequestLimits(Map<String, Double> limits, double deadlineMs) {}
