package cacheproxy.faulttest.check;

import cacheproxy.faulttest.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Checks that all proxies together respect the slow start of a cache server that was restarted cold: in no window do
 * they send it more than a multiple of its capacity at the window's start. The figures are those of the scenario, which
 * the proxies are told as well.
 */
public final class SlowStartChecker implements Checker {
    private double worstRatio;

    @Override
    public String name() {
        return "cold-sum";
    }

    /** The highest ratio of commands to capacity at any server in the run that was checked last. */
    public double worstRatio() {
        return worstRatio;
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        worstRatio = 0;
        Map<String, ColdServer> coldServers = new HashMap<>();
        for (Event event : run.events()) {
            String endpoint = event.endpoint();
            switch (event.type()) {
                case Event.SERVER_STARTED ->
                    coldServers.put(endpoint, new ColdServer(run.scenario().slowStart(), event.timeMs()));
                case Event.SERVER_KILLED -> coldServers.remove(endpoint);
                case Event.COMMAND_ARRIVED -> {
                    ColdServer server = coldServers.get(endpoint);
                    if (server != null && server.isWarmAt(event.timeMs())) {
                        coldServers.remove(endpoint);
                    } else if (server != null) {
                        violations.countJudged();
                        checkArrival(server, event, run.scenario().serverPerSecond(), violations);
                    }
                }
                default -> {}
            }
        }
        return violations;
    }

    private void checkArrival(ColdServer server, Event arrival, double warmPerSecond, Violations violations) {
        server.addArrival(arrival.timeMs());
        double ratio = server.capacityRatio(warmPerSecond);
        worstRatio = Math.max(worstRatio, ratio);
        if (ratio > server.slowStart.multiple() && !server.reported) {
            server.reported = true;
            violations.add(
                    arrival,
                    arrival.endpoint() + " was sent " + server.arrivalsMs.size() + " commands in "
                            + (int) server.slowStart.windowMs()
                            + " ms, " + String.format(Locale.ROOT, "%.2f", ratio)
                            + " times what it can do when so cold");
        }
    }

    /** A server that is warming up, and the commands that arrived at it within the window. */
    private static final class ColdServer {
        final Scenario.SlowStart slowStart;
        final double startedMs;
        final ArrayDeque<Double> arrivalsMs = new ArrayDeque<>();
        boolean reported;

        ColdServer(Scenario.SlowStart slowStart, double startedMs) {
            this.slowStart = slowStart;
            this.startedMs = startedMs;
        }

        boolean isWarmAt(double timeMs) {
            return timeMs - startedMs > slowStart.warmUpMs();
        }

        void addArrival(double timeMs) {
            arrivalsMs.add(timeMs);
            while (arrivalsMs.peek() < timeMs - slowStart.windowMs()) {
                arrivalsMs.poll();
            }
        }

        /** Ratio of the commands in the window to the server's capacity at the window's start. */
        double capacityRatio(double warmPerSecond) {
            double ageMs = Math.max(0, arrivalsMs.peek() - startedMs);
            double initial = slowStart.startCapacity();
            double capacityShare = initial + (1 - initial) * ageMs / slowStart.warmUpMs();
            double capacity = warmPerSecond * capacityShare * slowStart.windowMs() / 1000;
            return arrivalsMs.size() / capacity;
        }
    }
}
