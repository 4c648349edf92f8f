package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Scenario;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** Statistics of a fleet-wide rate quota over a run: by how much it was exceeded, and how much of it was unused. */
public final class QuotaStats {
    private QuotaStats() {}

    /**
     * For windows of 100 ms, 1 s and 10 s: the maximum number of requests that arrived, minus the number that the rate
     * alone allows.
     */
    public static double[] excessByWindow(RunHistory run) {
        List<Event> arrivals = QuotaChecker.arrivals(run);
        double perSecond = run.scenario().quota().perSecond();
        return Arrays.stream(QuotaChecker.WINDOWS_MS)
                .map(windowMs ->
                        QuotaChecker.BusiestWindow.of(arrivals, windowMs).requests() - perSecond * windowMs / 1000)
                .toArray();
    }

    /**
     * The share of the rate, 0 to 1, that was unused while requests were rejected, computed for whole seconds of the
     * load.
     *
     * @param skippedMs time at the start of the load that is left out
     */
    public static double unusedShare(RunHistory run, double skippedMs) {
        double[] sentMs = run.events().stream()
                .filter(event -> event.is(Event.REQUEST_SENT))
                .mapToDouble(Event::timeMs)
                .toArray();
        return sentMs.length == 0 ? 0 : unusedShare(run, sentMs[0] + skippedMs, sentMs[sentMs.length - 1]);
    }

    private static double unusedShare(RunHistory run, double fromMs, double toMs) {
        Scenario.Quota quota = run.scenario().quota();
        int seconds = (int) Math.max(1, (toMs - fromMs) / 1000);
        double[] arrived = new double[seconds];
        double[] rejected = new double[seconds];
        for (Event arrival : QuotaChecker.arrivals(run)) {
            count(arrived, arrival, fromMs);
        }
        Set<String> limited = new HashSet<>();
        for (Event event : run.events()) {
            if (event.is(Event.REQUEST_SENT, quota.requestKind())) {
                limited.add(event.id());
            } else if (event.is(Event.RESPONSE_RECEIVED, Event.REJECTED) && limited.contains(event.id())) {
                count(rejected, event, fromMs);
            }
        }
        double unused = 0;
        for (int second = 0; second < seconds; second++) {
            unused += Math.min(rejected[second], Math.max(0, quota.perSecond() - arrived[second]));
        }
        return unused / quota.perSecond() / seconds;
    }

    private static void count(double[] countBySecond, Event event, double fromMs) {
        int second = (int) Math.floor((event.timeMs() - fromMs) / 1000);
        if (second >= 0 && second < countBySecond.length) {
            countBySecond[second]++;
        }
    }
}
