package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Fault;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.TreeMap;

/** Statistics of leases over a run: tenures, spans without a holder, takeover times, rejected leader actions. */
public final class LeaseStats {
    /** A takeover later than this after a fault is not attributed to the fault. */
    private static final double MAX_TAKEOVER_MS = 8000;

    private LeaseStats() {}

    /**
     * A span in which no proxy reported that it holds a lease.
     *
     * @param fromMs start, milliseconds since the run's start
     * @param toMs end, milliseconds since the run's start
     */
    public record Gap(double fromMs, double toMs) {
        /** Its length, milliseconds. */
        public double lengthMs() {
            return toMs - fromMs;
        }
    }

    /** Spans of a lease without a reported holder within a part of the run, in the order of time. */
    public static List<Gap> gapsWithoutHolder(
            RunHistory run, String lease, double minLengthMs, double fromMs, double toMs) {
        List<Gap> gaps = new ArrayList<>();
        double lastMs = fromMs;
        for (Event event : run.events()) {
            if (reportsHolder(event, lease) && event.timeMs() >= fromMs && event.timeMs() <= toMs) {
                if (event.timeMs() - lastMs >= minLengthMs) {
                    gaps.add(new Gap(lastMs, event.timeMs()));
                }
                lastMs = event.timeMs();
            }
        }
        if (toMs - lastMs >= minLengthMs) {
            gaps.add(new Gap(lastMs, toMs));
        }
        return gaps;
    }

    /**
     * For each kind of fault, the sorted times in milliseconds from a fault at a lease's holder to the first report of
     * a newer epoch. Faults after which the holder kept its lease don't count.
     */
    public static Map<String, double[]> takeoverTimesMs(RunHistory run) {
        Map<String, List<Double>> timesByKind = new TreeMap<>();
        List<Event> events = run.events();
        for (int i = 0; i < events.size(); i++) {
            Fault fault = startedAtHolder(run, events.get(i));
            if (fault != null) {
                takeoverTimeMs(events, i, fault.holderOf())
                        .ifPresent(timeMs -> timesByKind
                                .computeIfAbsent(kindText(fault), kind -> new ArrayList<>())
                                .add(timeMs));
            }
        }
        Map<String, double[]> sorted = new TreeMap<>();
        timesByKind.forEach((kind, times) -> sorted.put(
                kind, times.stream().mapToDouble(Double::doubleValue).sorted().toArray()));
        return sorted;
    }

    /** How many epochs of a lease were reported. */
    public static int countTenures(RunHistory run, String lease) {
        return (int) run.events().stream()
                .filter(event -> reportsHolder(event, lease))
                .mapToDouble(Event::value)
                .distinct()
                .count();
    }

    /** How many leader actions of older epochs their stores rejected. */
    public static long countRejectedActions(RunHistory run) {
        return run.events().stream()
                .filter(event -> event.is(Event.LEADER_ACTION, Event.REJECTED))
                .count();
    }

    /** The fault that began with this event if it hits the holder of a lease; otherwise null. */
    private static Fault startedAtHolder(RunHistory run, Event event) {
        int index = event.is(Event.FAULT_STARTED) ? Integer.parseInt(event.id()) : -1;
        if (index < 0 || index >= run.scenario().faults().size()) {
            return null;
        }
        Fault fault = run.scenario().faults().get(index);
        return fault.holderOf().isEmpty() ? null : fault;
    }

    private static OptionalDouble takeoverTimeMs(List<Event> events, int faultIndex, String lease) {
        double faultMs = events.get(faultIndex).timeMs();
        double epoch = epochBefore(events, faultIndex, lease);
        for (int i = faultIndex + 1; i < events.size() && events.get(i).timeMs() < faultMs + MAX_TAKEOVER_MS; i++) {
            Event event = events.get(i);
            if (reportsHolder(event, lease) && event.value() > epoch) {
                return OptionalDouble.of(event.timeMs() - faultMs);
            }
        }
        return OptionalDouble.empty();
    }

    /** The last epoch that was reported before an event; -1 if there is none. */
    private static double epochBefore(List<Event> events, int index, String lease) {
        double epoch = -1;
        for (int i = index - 1; i >= 0 && epoch < 0; i--) {
            epoch = reportsHolder(events.get(i), lease) ? events.get(i).value() : -1;
        }
        return epoch;
    }

    private static String kindText(Fault fault) {
        return fault.kind().tomlName() + (fault.hitsLinks() && !fault.twoWay() ? ", one way" : "");
    }

    private static boolean reportsHolder(Event event, String lease) {
        return event.is(Event.LEASE_POLLED, Event.HELD) && event.id().equals(lease);
    }
}
