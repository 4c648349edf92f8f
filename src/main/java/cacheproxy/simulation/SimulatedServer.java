package cacheproxy.simulation;

import cacheproxy.policy.PolicySettings;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/** A cache node: one core, room for three requests that wait, a cache without bound. */
final class SimulatedServer {
    /** The mean work of a request on a core of speed 1. */
    static final double WORK_MS = 50;

    private static final int ROOM = 3;

    /** A request that came while it was cold, and whether from a proxy that had been told of its start. */
    private record Sent(double at, boolean told) {}

    /** A request that a node has taken, when it will be done, and whether the node had the key. */
    record Taken(double atMs, boolean hit) {}

    final int id;
    final int zone;
    final double speed;
    private final PolicySettings settings;
    private final Set<Long> kept = new HashSet<>();
    private final List<Sent> cold = new ArrayList<>();
    private double bornMs;
    private double busyUntil;
    boolean draining;
    /** Its process has ended: connections are refused. */
    boolean ended;
    /** Cut off: nothing comes back. */
    boolean silent;

    /** Three in five are twice as fast as the others. */
    SimulatedServer(int id, int zones, double bornMs, PolicySettings settings) {
        this.id = id;
        this.zone = id % zones;
        this.bornMs = bornMs;
        this.settings = settings;
        speed = id % 5 < 3 ? 1.8 : 0.88;
    }

    /** When its process started; 0: long ago. */
    double bornMs() {
        return bornMs;
    }

    /** Starts anew: cold and empty. */
    void restart(double now) {
        silent = false;
        bornMs = now;
        busyUntil = 0;
        kept.clear();
    }

    /** The part of its full capacity that it has: it rises evenly over the warm-up. */
    double part(double now) {
        return bornMs == 0
                ? 1
                : Math.min(
                        1,
                        settings.initialCapacityFraction()
                                + (1 - settings.initialCapacityFraction()) * (now - bornMs) / settings.warmUpMs());
    }

    boolean isCold(double now) {
        return part(now) < 1;
    }

    void sentCold(double now, boolean told) {
        cold.add(new Sent(now, told));
    }

    int coldSends() {
        return cold.size();
    }

    void keep(long key) {
        kept.add(key);
    }

    /** @param size the request's work, 1 in the mean; a miss is a fifth of it. @return null: turned away */
    Taken take(double now, long key, double size) {
        if (draining || busyUntil > now + ROOM * WORK_MS / speed) {
            return null;
        }
        boolean hit = kept.contains(key);
        busyUntil = Math.max(now, busyUntil) + (hit ? 1 : 0.2) * size * WORK_MS / speed / part(now);
        return new Taken(busyUntil, hit);
    }

    /** See {@link FleetSimulationResult#worstCold}. */
    double worstCold() {
        double worst = 0;
        int first = 0;
        int told = 0;
        for (int last = 0; last < cold.size(); last++) {
            double to = cold.get(last).at();
            told += cold.get(last).told() ? 1 : 0;
            for (; cold.get(first).at() < to - settings.collapseAfterMs(); first++) {
                told -= cold.get(first).told() ? 1 : 0;
            }
            int count = last - first + 1;
            if (told >= count * 2 / 3.0) {
                double can = speed
                        * part(Math.max(bornMs, to - settings.collapseAfterMs() / 2))
                        * settings.collapseAfterMs();
                worst = Math.max(worst, count * WORK_MS / can);
            }
        }
        return worst;
    }
}
