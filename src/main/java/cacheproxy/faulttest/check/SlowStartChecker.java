package cacheproxy.faulttest.check;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Checks that all proxies together respect the slow start of a cache server that was restarted cold: in no window do
 * they send it more than a multiple of its capacity at the window's start.
 */
public final class SlowStartChecker implements Checker {
    /** The share of its capacity that a server has when it starts. */
    static final double INITIAL_CAPACITY_SHARE = 0.3;
    /** Time in which the server's capacity grows linearly to its full value. */
    static final double WARM_UP_MS = 9000;
    /** Ratio of commands to capacity above which there is a violation. */
    static final double MAX_CAPACITY_RATIO = 3;
    /** Length of the windows over which commands are counted. */
    static final double WINDOW_MS = 1500;

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
                case Event.SERVER_STARTED -> coldServers.put(endpoint, new ColdServer(event.timeMs()));
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
        if (ratio > MAX_CAPACITY_RATIO && !server.reported) {
            server.reported = true;
            violations.add(
                    arrival,
                    arrival.endpoint() + " was sent " + server.arrivalsMs.size() + " commands in " + (int) WINDOW_MS
                            + " ms, " + String.format(Locale.ROOT, "%.2f", ratio)
                            + " times what it can do when so cold");
        }
    }

    /** A server that is warming up, and the commands that arrived at it within the window. */
    private static final class ColdServer {
        final double startedMs;
        final ArrayDeque<Double> arrivalsMs = new ArrayDeque<>();
        boolean reported;

        ColdServer(double startedMs) {
            this.startedMs = startedMs;
        }

        boolean isWarmAt(double timeMs) {
            return timeMs - startedMs > WARM_UP_MS;
        }

        void addArrival(double timeMs) {
            arrivalsMs.add(timeMs);
            while (arrivalsMs.peek() < timeMs - WINDOW_MS) {
                arrivalsMs.poll();
            }
        }

        /** Ratio of the commands in the window to the server's capacity at the window's start. */
        double capacityRatio(double warmPerSecond) {
            double ageMs = Math.max(0, arrivalsMs.peek() - startedMs);
            double capacityShare = INITIAL_CAPACITY_SHARE + (1 - INITIAL_CAPACITY_SHARE) * ageMs / WARM_UP_MS;
            double capacity = warmPerSecond * capacityShare * WINDOW_MS / 1000;
            return arrivalsMs.size() / capacity;
        }
    }
}
