package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * Limits that apply to all requests.
 *
 * @param limits keys of the file's {@code [limits]} table with their values, in order; only those that nginx's
 *     configuration sets
 * @param deadlineMs the time limit of requests, in milliseconds
 */
record RequestLimits(Map<String, Double> limits, double deadlineMs) {}
