package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.TargetSelector;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * How requests were served and how load was spread over cache servers, in a period of a run.
 *
 * @param requests requests that were sent
 * @param withinDeadline requests served within their deadline
 * @param served requests served
 * @param rejected requests rejected
 * @param failed requests with any other response
 * @param unanswered requests without a response
 * @param medianMs median latency of served requests; NaN if there are none
 * @param p99Ms 99th percentile of the latency of served requests; NaN if there are none
 * @param busiestServerRatio commands at the busiest server over the mean of all
 * @param serverVariation coefficient of variation of commands by server
 * @param idleServers servers without a command
 * @param attemptsPerRequest commands at servers for each request
 */
public record ServiceStats(
        int requests,
        int withinDeadline,
        int served,
        int rejected,
        int failed,
        int unanswered,
        double medianMs,
        double p99Ms,
        double busiestServerRatio,
        double serverVariation,
        int idleServers,
        double attemptsPerRequest) {
    private static final String STALL_PREFIX = "node-stall ";

    /**
     * Computes the statistics of the requests that were sent in a span of the run, in milliseconds since its start; the
     * end of the span is exclusive.
     */
    public static ServiceStats of(RunHistory run, double fromMs, double toMs) {
        Tally tally = new Tally(run);
        for (Event event : run.events()) {
            tally.add(event, fromMs, toMs);
        }
        return tally.stats();
    }

    /** Counters that are updated while a history is read. */
    private static final class Tally {
        private final Map<String, Event> requestById = new HashMap<>();
        private final TargetSelector endpoints;
        private final int[] commandsByServer;
        private final double[] latenciesMs;
        private int requests;
        private int withinDeadline;
        private int served;
        private int rejected;
        private int failed;
        private int commands;

        Tally(RunHistory run) {
            endpoints = run.scenario().targetSelector();
            commandsByServer = new int[run.scenario().servers()];
            latenciesMs = new double[run.events().size()];
        }

        void add(Event event, double fromMs, double toMs) {
            switch (event.type()) {
                case Event.REQUEST_SENT -> {
                    if (event.timeMs() >= fromMs
                            && event.timeMs() < toMs
                            && requestById.put(event.id(), event) == null) {
                        requests++;
                    }
                }
                case Event.COMMAND_ARRIVED -> {
                    if (requestById.containsKey(event.id())) {
                        commandsByServer[endpoints.indexOf(event.endpoint()) - endpoints.proxies()]++;
                        commands++;
                    }
                }
                case Event.RESPONSE_RECEIVED -> {
                    Event request = requestById.get(event.id());
                    if (request != null) {
                        addResponse(request, event);
                    }
                }
                default -> {}
            }
        }

        private void addResponse(Event request, Event response) {
            switch (response.detail()) {
                case Event.SERVED -> {
                    double latencyMs = (response.timeUs() - request.timeUs()) / 1000.0;
                    withinDeadline += latencyMs <= request.value() ? 1 : 0;
                    latenciesMs[served++] = latencyMs;
                }
                case Event.REJECTED -> rejected++;
                default -> failed++;
            }
        }

        ServiceStats stats() {
            double[] sortedMs = Arrays.copyOf(latenciesMs, served);
            Arrays.sort(sortedMs);
            double mean = Arrays.stream(commandsByServer).average().orElse(0);
            double variance = Arrays.stream(commandsByServer)
                    .mapToDouble(count -> (count - mean) * (count - mean))
                    .average()
                    .orElse(0);
            return new ServiceStats(
                    requests,
                    withinDeadline,
                    served,
                    rejected,
                    failed,
                    requests - served - rejected - failed,
                    served == 0 ? Double.NaN : sortedMs[served / 2],
                    served == 0 ? Double.NaN : sortedMs[served * 99 / 100],
                    mean == 0 ? 0 : Arrays.stream(commandsByServer).max().orElse(0) / mean,
                    mean == 0 ? 0 : Math.sqrt(variance) / mean,
                    (int) Arrays.stream(commandsByServer)
                            .filter(count -> count == 0)
                            .count(),
                    requests == 0 ? 0 : (double) commands / requests);
        }
    }

    /** How many commands arrived at cache servers while these were stalled by a fault. */
    public static int countSentToStalledServers(RunHistory run) {
        Map<String, Set<String>> stalledByFault = new HashMap<>();
        int sent = 0;
        for (Event event : run.events()) {
            switch (event.type()) {
                case Event.FAULT_STARTED -> {
                    if (event.detail().startsWith(STALL_PREFIX)) {
                        stalledByFault.put(
                                event.id(),
                                Set.of(event.detail()
                                        .substring(STALL_PREFIX.length())
                                        .split(",")));
                    }
                }
                case Event.FAULT_ENDED -> stalledByFault.remove(event.id());
                case Event.COMMAND_ARRIVED -> {
                    if (stalledByFault.values().stream().anyMatch(servers -> servers.contains(event.endpoint()))) {
                        sent++;
                    }
                }
                default -> {}
            }
        }
        return sent;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "asked %d, in time %.4f, served %.4f, refused %.4f, failed %.4f, unanswered %.4f; ms p50 %.1f "
                        + "p99 %.1f; attempts each %.3f; nodes: max over mean %.2f, variation %.3f, idle %d",
                requests,
                shareOfRequests(withinDeadline),
                shareOfRequests(served),
                shareOfRequests(rejected),
                shareOfRequests(failed),
                shareOfRequests(unanswered),
                medianMs,
                p99Ms,
                attemptsPerRequest,
                busiestServerRatio,
                serverVariation,
                idleServers);
    }

    private double shareOfRequests(int count) {
        return requests == 0 ? 0 : (double) count / requests;
    }
}
