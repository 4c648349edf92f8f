package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Scenario;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

/**
 * Checks that the proxies together keep the fleet-wide quota of the scenario, measured where requests arrive at cache
 * servers. A request counts once, regardless of the number of attempts.
 *
 * <p>Rate: no window contains more certain arrivals than the rate, the burst, and the drift of fast clocks allow.
 * Concurrency: a request is certainly in flight from its arrival at a server until {@value #MAX_RESPONSE_TRANSIT_MS} ms
 * before its client received the response, as the response can have been on its way for that long.
 */
public final class QuotaChecker implements Checker {
    /** Lengths of the windows over which a rate is judged, ms. */
    static final double[] WINDOWS_MS = {100, 1000, 10_000};
    /** Longest time for which a response can be on its way to the client, ms. */
    static final double MAX_RESPONSE_TRANSIT_MS = 25;
    /** Fraction by which a process's clock can run fast. */
    private static final double MAX_CLOCK_DRIFT = 0.01;

    @Override
    public String name() {
        return "limit-kept";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        Scenario.Quota quota = run.scenario().quota();
        if (quota == null) {
            return violations;
        }
        List<Event> arrivals = arrivals(run);
        arrivals.forEach(arrival -> violations.countJudged());
        if (quota.maxInFlight() > 0) {
            checkConcurrency(run, quota, arrivals, violations);
        } else {
            checkRate(quota, arrivals, violations);
        }
        return violations;
    }

    private static void checkRate(Scenario.Quota quota, List<Event> arrivals, Violations violations) {
        for (double windowMs : WINDOWS_MS) {
            BusiestWindow busiest = BusiestWindow.of(arrivals, windowMs);
            double allowed = allowedRequests(quota, windowMs);
            if (busiest.requests() > allowed) {
                violations.add(
                        arrivals.get(busiest.lastIndex()),
                        String.format(
                                Locale.ROOT,
                                "%d came within %.0f ms, where the limit and its bound allow %.1f",
                                busiest.requests(),
                                windowMs,
                                allowed));
            }
        }
    }

    /** The number of requests that may arrive in a window of this length. */
    public static double allowedRequests(Scenario.Quota quota, double windowMs) {
        return quota.perSecond() * windowMs / 1000 * (1 + MAX_CLOCK_DRIFT) + quota.allowance();
    }

    /** The first arrival at a server of each request that the scenario's quota limits. */
    static List<Event> arrivals(RunHistory run) {
        Set<String> limited = new HashSet<>();
        Set<String> seen = new HashSet<>();
        List<Event> arrivals = new ArrayList<>();
        for (Event event : run.events()) {
            if (event.is(Event.REQUEST_SENT, run.scenario().quota().requestKind())) {
                limited.add(event.id());
            } else if (event.is(Event.COMMAND_ARRIVED) && limited.contains(event.id()) && seen.add(event.id())) {
                arrivals.add(event);
            }
        }
        return arrivals;
    }

    /**
     * The window with the most certain arrivals of requests.
     *
     * @param requests number of certain arrivals in the window
     * @param lastIndex index of the arrival with which the window ends
     */
    record BusiestWindow(int requests, int lastIndex) {
        /** The busiest window of a length, over arrivals in the order of time. */
        static BusiestWindow of(List<Event> arrivals, double windowMs) {
            BusiestWindow busiest = new BusiestWindow(0, 0);
            long windowUs = (long) (windowMs * 1000);
            long[] earliestUs = arrivals.stream().mapToLong(Event::earliestUs).toArray();
            int first = 0;
            for (int last = 0; last < arrivals.size(); last++) {
                long startUs = arrivals.get(last).timeUs() - windowUs;
                while (first < last && arrivals.get(first).timeUs() < startUs) {
                    first++;
                }
                // Count only requests that can't have arrived before the window's start.
                int requests = 0;
                for (int i = first; i <= last; i++) {
                    requests += earliestUs[i] >= startUs ? 1 : 0;
                }
                if (requests > busiest.requests) {
                    busiest = new BusiestWindow(requests, last);
                }
            }
            return busiest;
        }
    }

    /** The start or end of a span in which one request is certainly in flight; change is 1 or -1. */
    private record InFlightChange(long timeUs, int change) {
        static final Comparator<InFlightChange> ENDS_BEFORE_STARTS =
                Comparator.comparingLong(InFlightChange::timeUs).thenComparingInt(InFlightChange::change);
    }

    private static void checkConcurrency(
            RunHistory run, Scenario.Quota quota, List<Event> arrivals, Violations violations) {
        int inFlight = 0;
        for (InFlightChange change : inFlightChanges(run, arrivals)) {
            inFlight += change.change;
            if (change.change > 0 && inFlight > quota.maxInFlight() + quota.allowance()) {
                violations.add(
                        new Event(change.timeUs, 0, Event.RUNNER, Event.COMMAND_ARRIVED, "", "", inFlight),
                        inFlight + " in hand, where " + quota.maxInFlight() + " and " + quota.allowance()
                                + " are allowed");
            }
        }
    }

    private static List<InFlightChange> inFlightChanges(RunHistory run, List<Event> arrivals) {
        Map<String, Event> arrivalById = new HashMap<>();
        arrivals.forEach(arrival -> arrivalById.put(arrival.id(), arrival));
        List<InFlightChange> changes = new ArrayList<>();
        Set<String> finished = new HashSet<>();
        for (Event event : run.events()) {
            Event arrival = finishesRequest(event) && finished.add(event.id()) ? arrivalById.get(event.id()) : null;
            long endUs = event.earliestUs() - (long) (MAX_RESPONSE_TRANSIT_MS * 1000);
            if (arrival != null && endUs > arrival.timeUs()) {
                changes.add(new InFlightChange(arrival.timeUs(), 1));
                changes.add(new InFlightChange(endUs, -1));
            }
        }
        changes.sort(InFlightChange.ENDS_BEFORE_STARTS);
        return changes;
    }

    private static boolean finishesRequest(Event event) {
        return event.is(Event.RESPONSE_RECEIVED)
                || event.is(Event.CONNECTION_CLOSED)
                || event.is(Event.CLIENT_TIMED_OUT);
    }
}
