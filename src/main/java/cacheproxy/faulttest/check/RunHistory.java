package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Fault;
import cacheproxy.faulttest.scenario.Scenario;
import cacheproxy.faulttest.scenario.TargetSelector;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

/**
 * The whole history of a run in the order of time, with the spans in which each proxy was paused, down or cut off from
 * discovery. Times in microseconds since the run's start.
 */
public final class RunHistory {
    /** A proxy that can reach discovery for this long is notified of changes. */
    private static final long MIN_NOTIFICATION_US = 300_000;

    private final Scenario scenario;
    private final List<Event> events;
    private final long endUs;
    /** From SIGSTOP to SIGCONT or exit. */
    private final EndpointSpans paused = new EndpointSpans();
    /** From SIGTERM, SIGKILL or exit until the next process is ready. */
    private final EndpointSpans down = new EndpointSpans();
    /** Spans of {@link #down} from SIGKILL, or from an exit that the test did not cause. */
    private final EndpointSpans killed = new EndpointSpans();
    /** Faults on the links to discovery. */
    private final EndpointSpans cutOffFromDiscovery = new EndpointSpans();

    /**
     * Makes a history.
     *
     * @param events in any order
     */
    public RunHistory(Scenario scenario, List<Event> events) {
        this.scenario = scenario;
        this.events = new ArrayList<>(events);
        this.events.sort(Comparator.comparingLong(Event::timeUs));
        endUs = events.isEmpty() ? 0 : this.events.get(events.size() - 1).timeUs();
        this.events.forEach(this::trackProcessState);
        Stream.of(paused, down, killed).forEach(spans -> spans.endAll(endUs));
        findDiscoveryOutages();
    }

    private void trackProcessState(Event event) {
        String endpoint = event.endpoint();
        switch (event.type()) {
            case Event.PROCESS_PAUSED -> paused.begin(endpoint, event.earliestUs());
            case Event.PROCESS_RESUMED -> paused.end(endpoint, event.timeUs());
            case Event.PROCESS_KILLED -> {
                down.begin(endpoint, event.earliestUs());
                killed.begin(endpoint, event.earliestUs());
            }
            case Event.PROCESS_TERMINATING -> down.begin(endpoint, event.earliestUs());
            case Event.PROCESS_EXITED -> {
                paused.end(endpoint, event.timeUs());
                if (!down.isOpen(endpoint)) {
                    killed.begin(endpoint, event.earliestUs());
                }
                down.begin(endpoint, event.earliestUs());
            }
            case Event.PROCESS_READY -> {
                down.end(endpoint, event.timeUs());
                killed.end(endpoint, event.timeUs());
            }
            default -> {}
        }
    }

    private void findDiscoveryOutages() {
        Map<String, Event> openFaults = new HashMap<>();
        for (Event event : events) {
            if (event.is(Event.FAULT_STARTED)) {
                openFaults.put(event.id(), event);
            } else if (event.is(Event.FAULT_ENDED) && openFaults.containsKey(event.id())) {
                addDiscoveryOutage(event.id(), openFaults.remove(event.id()).earliestUs(), event.timeUs());
            }
        }
        openFaults.forEach((id, event) -> addDiscoveryOutage(id, event.earliestUs(), endUs));
    }

    private void addDiscoveryOutage(String faultId, long fromUs, long toUs) {
        int index = Integer.parseInt(faultId);
        if (index >= scenario.faults().size()) {
            return;
        }
        Fault fault = scenario.faults().get(index);
        if (!fault.hitsLinks()) {
            return;
        }
        if (fault.linkPeers().contains(TargetSelector.DISCOVERY)) {
            fault.targets().forEach(proxy -> cutOffFromDiscovery.add(proxy, fromUs, toUs));
        } else if (fault.targets().contains(TargetSelector.DISCOVERY)) {
            fault.linkPeers().forEach(proxy -> cutOffFromDiscovery.add(proxy, fromUs, toUs));
        }
    }

    /** The scenario as it was played. */
    public Scenario scenario() {
        return scenario;
    }

    /** All events, in the order of time. */
    public List<Event> events() {
        return events;
    }

    /** The time of the last event. */
    public long endUs() {
        return endUs;
    }

    /** Returns whether a proxy was paused or down at some time of a span. */
    public boolean wasPausedOrDown(String proxy, long fromUs, long toUs) {
        return paused.overlaps(proxy, fromUs, toUs) || down.overlaps(proxy, fromUs, toUs);
    }

    /** Returns whether a proxy was terminating, not running, or not ready yet at some time of a span. */
    public boolean wasDown(String proxy, long fromUs, long toUs) {
        return down.overlaps(proxy, fromUs, toUs);
    }

    /**
     * Returns whether a proxy was down after a kill or a crash at some time of a span. A proxy that terminates on
     * request does not count until it is killed.
     */
    public boolean wasKilled(String proxy, long fromUs, long toUs) {
        return killed.overlaps(proxy, fromUs, toUs);
    }

    /** How long a proxy was paused within a span, microseconds. */
    public long pausedUs(String proxy, long fromUs, long toUs) {
        return paused.overlapUs(proxy, fromUs, toUs);
    }

    /**
     * The time from which discovery could notify a proxy: the given time, or the end of the faults that prevented a
     * notification from that time on. Gaps between faults that were too short for a notification don't count.
     */
    public long discoveryReachableFromUs(String proxy, long fromUs) {
        List<EndpointSpans.Span> faults = Stream.of(paused, down, cutOffFromDiscovery)
                .flatMap(spans -> spans.of(proxy).stream())
                .sorted(Comparator.comparingLong(EndpointSpans.Span::fromUs))
                .toList();
        long reachableUs = fromUs;
        for (EndpointSpans.Span fault : faults) {
            if (fault.toUs() >= reachableUs && fault.fromUs() < reachableUs + MIN_NOTIFICATION_US) {
                reachableUs = fault.toUs();
            }
        }
        return reachableUs;
    }
}
