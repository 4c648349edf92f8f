package cacheproxy.faulttest;

import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.LeaseStats;
import cacheproxy.faulttest.check.QuotaStats;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.ServiceStats;
import cacheproxy.faulttest.scenario.RunValidity;
import cacheproxy.faulttest.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;

/** The human-readable report of a run. */
final class OutcomeReport {
    private static final double MIN_GAP_MS = 100;
    /** The shortest gap that is reported, as a multiple of the time between polls. */
    private static final double MIN_GAP_POLLS = 2.5;
    /** Time at the start of the load in which proxies are warming up, so that it is left out of quota statistics. */
    private static final double SKIPPED_MS = 3000;

    private OutcomeReport() {}

    /** The lines of the report. */
    static List<String> lines(FaultTestRunner.Outcome outcome) {
        RunHistory run = outcome.run();
        Scenario scenario = run.scenario();
        List<String> lines = new ArrayList<>();
        lines.add(fleetLine(scenario, outcome.measurements()));
        lines.add(outcome.serviceStats().toString());
        lines.add(trafficLine(run, outcome.measurements()));
        lines.add(lagLine(outcome.validity()));
        scenario.leases().forEach(lease -> lines.add(leaseLine(run, lease)));
        LeaseStats.takeoverTimesMs(run).forEach((kind, timesMs) -> lines.add(takeoverLine(kind, timesMs)));
        if (!scenario.leases().isEmpty()) {
            lines.add("acts under older epochs, refused where they were received: "
                    + LeaseStats.countRejectedActions(run));
        }
        if (scenario.quota() != null && scenario.quota().perSecond() > 0) {
            lines.add(quotaLine(run));
        }
        lines.addAll(outcome.verdict().lines());
        return lines;
    }

    private static String fleetLine(Scenario scenario, RunMeasurements measurements) {
        return String.format(
                "%d proxies (%s), %d nodes, seed %d, %.0f s; ready after %.1f s; MB each %.0f, at most %.0f",
                scenario.proxies(),
                scenario.program(),
                scenario.servers(),
                scenario.seed(),
                scenario.load().seconds(),
                measurements.startSeconds(),
                measurements.meanResidentMb(),
                measurements.maxResidentMb());
    }

    private static String trafficLine(RunHistory run, RunMeasurements measurements) {
        double seconds = run.scenario().load().seconds();
        int proxies = run.scenario().proxies();
        return String.format(
                "unreached %d, no connection free %d; datagrams a second a proxy %.2f, bytes %.0f, lost by faults %d; "
                        + "calls to discovery %d, %.2f a second, waiting at the end %d; tests of nodes %d, commands to nodes that stood still %d",
                measurements.failedConnects(),
                measurements.rejectedByConnectionLimit(),
                measurements.datagrams() / seconds / proxies,
                measurements.datagramBytes() / seconds / proxies,
                measurements.lostDatagrams(),
                measurements.discoveryCalls(),
                measurements.discoveryCalls() / seconds,
                measurements.waitingWatches(),
                measurements.healthChecks(),
                ServiceStats.countSentToStalledServers(run));
    }

    private static String lagLine(RunValidity validity) {
        return String.format(
                "lag ms: relay p99 %.1f max %.1f, load p99 %.1f, proxies without a fault p99 %.1f; all processors busy %.2f",
                validity.relayLagP99Ms(),
                validity.relayLagMaxMs(),
                validity.scheduleLagP99Ms(),
                validity.pingP99Ms(),
                validity.busyShare());
    }

    private static String leaseLine(RunHistory run, String lease) {
        double minGapMs = Math.max(MIN_GAP_MS, MIN_GAP_POLLS * run.scenario().pollMs());
        List<String> gaps =
                LeaseStats.gapsWithoutHolder(run, lease, minGapMs, firstPollMs(run), run.endUs() / 1000.0).stream()
                        .map(gap -> String.format("%.0f ms at %.1f s", gap.lengthMs(), gap.fromMs() / 1000))
                        .toList();
        return String.format(
                "duty %s: epochs %d, longest gaps: %s",
                lease, LeaseStats.countTenures(run, lease), String.join(" ", gaps));
    }

    private static double firstPollMs(RunHistory run) {
        return run.events().stream()
                .filter(event -> event.is(Event.LEASE_POLLED))
                .mapToDouble(Event::timeMs)
                .findFirst()
                .orElse(0);
    }

    private static String takeoverLine(String kind, double[] sortedMs) {
        int last = sortedMs.length - 1;
        return String.format(
                "%s of the holder: %d, without another for ms p50 %.0f p99 %.0f max %.0f",
                kind, sortedMs.length, sortedMs[sortedMs.length / 2], sortedMs[last * 99 / 100], sortedMs[last]);
    }

    private static String quotaLine(RunHistory run) {
        double[] excess = QuotaStats.excessByWindow(run);
        return String.format(
                "limit: over by %.0f in 100 ms, %.0f in 1 s, %.0f in 10 s; idle while refused %.4f from the fourth second of the load on",
                excess[0], excess[1], excess[2], QuotaStats.unusedShare(run, SKIPPED_MS));
    }
}
