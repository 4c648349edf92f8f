package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks that each lease has at most one holder at a time, and that its epochs increase. A proxy's report that it holds
 * the lease was true at some moment between poll and response. So no poll that began after a report of a newer epoch
 * may report an older one, and no two proxies may report the same epoch.
 */
public final class MutualExclusionChecker implements Checker {
    @Override
    public String name() {
        return "one-holder";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        Map<String, LeaseReports> reportsByLease = new HashMap<>();
        for (Event event : run.events()) {
            if (event.is(Event.LEASE_POLLED, Event.HELD)) {
                violations.countJudged();
                reportsByLease
                        .computeIfAbsent(event.id(), lease -> new LeaseReports())
                        .check(event, violations);
            }
        }
        return violations;
    }

    /** The reports of proxies about one lease so far. */
    private static final class LeaseReports {
        private final Map<Double, String> holderByEpoch = new HashMap<>();
        /** The first report of each epoch newer than all before it, by its time. */
        private final TreeMap<Long, Event> newestEpochs = new TreeMap<>();

        void check(Event report, Violations violations) {
            String holder = holderByEpoch.putIfAbsent(report.value(), report.endpoint());
            if (holder != null && !holder.equals(report.endpoint())) {
                violations.add(
                        report,
                        holder + " and " + report.endpoint() + " hold " + report.id() + " under one epoch, "
                                + (long) report.value());
            }
            Map.Entry<Long, Event> earlier = newestEpochs.lowerEntry(report.earliestUs());
            if (earlier != null && earlier.getValue().value() > report.value()) {
                Event newer = earlier.getValue();
                violations.add(
                        report,
                        report.endpoint() + " holds " + report.id() + " under epoch " + (long) report.value()
                                + " after " + newer.endpoint() + " held it under " + (long) newer.value());
            }
            Map.Entry<Long, Event> last = newestEpochs.lastEntry();
            if (last == null || last.getValue().value() < report.value()) {
                newestEpochs.put(report.timeUs(), report);
            }
        }
    }
}
