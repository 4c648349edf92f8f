package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.TargetSelector;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/**
 * What was served and how the load was spread, over a part of a run.
 *
 * @param asked requests
 * @param inTime of them answered as served within their deadline
 * @param waited the median and the 99th percentile of what served ones took, ms
 * @param nodeMax commands at the busiest node over the mean
 * @param nodeVariation their coefficient of variation
 * @param idle nodes that were sent nothing
 * @param attemptsEach commands at nodes for each request
 */
@SuppressWarnings("ArrayRecordComponent") // the arrays are read only, and instances are not compared
public record ServiceStats(
        int asked,
        int inTime,
        int served,
        int refused,
        int failed,
        int unanswered,
        double[] waited,
        double nodeMax,
        double nodeVariation,
        int idle,
        double attemptsEach) {

    /** Over requests sent in a span of a run, milliseconds. */
    public static ServiceStats of(RunHistory run, double fromMs, double toMs) {
        Map<String, Event> open = new HashMap<>();
        int[] of = new int[6];
        int[] arrivals = new int[run.scenario().nodes()];
        double[] times = new double[run.events().size()];
        TargetSelector names = run.scenario().endpoints();
        int attempts = 0;
        for (Event e : run.events()) {
            switch (e.what()) {
                case Event.ASKED -> {
                    if (e.ms() >= fromMs && e.ms() < toMs && open.put(e.id(), e) == null) {
                        of[0]++;
                    }
                }
                case Event.ARRIVED -> {
                    if (open.containsKey(e.id())) {
                        arrivals[names.index(e.who()) - names.proxies()]++;
                        attempts++;
                    }
                }
                case Event.ANSWERED -> {
                    Event asked = open.get(e.id());
                    if (asked != null) {
                        double took = (e.us() - asked.us()) / 1000.0;
                        switch (e.detail()) {
                            case "served" -> {
                                of[1] += took <= asked.value() ? 1 : 0;
                                times[of[2]++] = took;
                            }
                            case "refused" -> of[3]++;
                            default -> of[4]++;
                        }
                    }
                }
                default -> {}
            }
        }
        double[] served = Arrays.copyOf(times, of[2]);
        Arrays.sort(served);
        double[] waited = served.length == 0
                ? new double[] {Double.NaN, Double.NaN}
                : new double[] {served[served.length / 2], served[served.length * 99 / 100]};
        double mean = Arrays.stream(arrivals).average().orElse(0);
        double variance = Arrays.stream(arrivals)
                .mapToDouble(n -> (n - mean) * (n - mean))
                .average()
                .orElse(0);
        return new ServiceStats(
                of[0],
                of[1],
                of[2],
                of[3],
                of[4],
                of[0] - of[2] - of[3] - of[4],
                waited,
                mean == 0 ? 0 : Arrays.stream(arrivals).max().orElse(0) / mean,
                mean == 0 ? 0 : Math.sqrt(variance) / mean,
                (int) Arrays.stream(arrivals).filter(n -> n == 0).count(),
                of[0] == 0 ? 0 : (double) attempts / of[0]);
    }

    /** Commands that came to nodes while these stood still. */
    public static int sentToSick(RunHistory run) {
        Map<String, Set<String>> by = new HashMap<>();
        int n = 0;
        for (Event e : run.events()) {
            switch (e.what()) {
                case Event.FAULT -> {
                    if (e.detail().startsWith("node-stall ")) {
                        by.put(e.id(), Set.of(e.detail().substring(11).split(",")));
                    }
                }
                case Event.HEALED -> by.remove(e.id());
                case Event.ARRIVED -> {
                    if (by.values().stream().anyMatch(s -> s.contains(e.who()))) {
                        n++;
                    }
                }
                default -> {}
            }
        }
        return n;
    }

    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "asked %d, in time %.4f, served %.4f, refused %.4f, failed %.4f, unanswered %.4f; ms p50 %.1f "
                        + "p99 %.1f; attempts each %.3f; nodes: max over mean %.2f, variation %.3f, idle %d",
                asked,
                part(inTime),
                part(served),
                part(refused),
                part(failed),
                part(unanswered),
                waited[0],
                waited[1],
                attemptsEach,
                nodeMax,
                nodeVariation,
                idle);
    }

    private double part(int n) {
        return asked == 0 ? 0 : (double) n / asked;
    }
}
