package cacheproxy.policy;

/**
 * What a warm cache server of each kind does for this policy: the rate at which it answers requests.
 *
 * <p>All proxies together see a server answer no more than it can do, so the sum of their estimates is at most the
 * capacity of an average server of that kind, whichever part of the requests each of them gets. Misses do not count,
 * because they take less work than the requests that are budgeted. Servers that fail are left out. If no server of a
 * kind is warm, the last estimate with a warm one is used for a time.
 */
final class ThroughputEstimate {
    /** For how long a calculated estimate is used. */
    private static final double RECALCULATION_MS = 100;

    /** For how long an estimate with a warm server is remembered when no server is warm any more. */
    private static final double REMEMBERED_MS = 60_000;

    /** Tells how much of its capacity a server has. */
    interface CapacityFraction {
        /** Returns the fraction of its capacity that a server has at a time; 1 if it has warmed up. */
        double of(double nowMs, ServerState server);
    }

    /** The estimate of a kind. */
    private static final class KindEstimate {
        double perMs;
        double averageWeight;
        boolean known;
        double lastWarmPerMs;
        double lastWarmAtMs = Double.NEGATIVE_INFINITY;
    }

    /** Sums over the healthy servers of a kind, or over those of them that are warm. */
    private static final class Sums {
        double answersPerMs;
        double capacity;
        double weight;
        int servers;

        void add(ServerState server, double serverPerMs, double serverCapacity) {
            answersPerMs += serverPerMs;
            capacity += serverCapacity;
            weight += server.endpoint().weight();
            servers++;
        }

        double perMs() {
            return capacity > 0 ? answersPerMs / capacity : 0;
        }
    }

    private final EndpointList endpoints;
    private final CapacityFraction capacityFraction;
    private final KindEstimate[] kinds;
    private double lowestPerMs;
    private double calculatedAtMs = Double.NEGATIVE_INFINITY;

    /**
     * Creates an estimate for the servers of a list.
     *
     * @param kindCount number of kinds of servers; no endpoint has a kind outside of them
     */
    ThroughputEstimate(EndpointList endpoints, int kindCount, CapacityFraction capacityFraction) {
        this.endpoints = endpoints;
        this.capacityFraction = capacityFraction;
        kinds = new KindEstimate[kindCount];
        for (int kind = 0; kind < kindCount; kind++) {
            kinds[kind] = new KindEstimate();
        }
    }

    /**
     * Returns the answers per millisecond that this policy would get from a server if it were warm. A server of more
     * than the average weight of its kind counts as an average one. A server whose kind is not known yet counts as one
     * of the kind with the lowest rate.
     */
    double warmPerMs(double nowMs, ServerState server) {
        if (nowMs - calculatedAtMs > RECALCULATION_MS) {
            calculate(nowMs);
        }
        KindEstimate kind = kinds[server.endpoint().kind()];
        if (!kind.known) {
            return lowestPerMs;
        }
        double relativeWeight = kind.averageWeight > 0 ? server.endpoint().weight() / kind.averageWeight : 1;
        return Math.min(1, relativeWeight) * kind.perMs;
    }

    /** Calculates all estimates; must be called before a list changes, so that those of warm servers are remembered. */
    void calculate(double nowMs) {
        calculatedAtMs = nowMs;
        lowestPerMs = Double.POSITIVE_INFINITY;
        for (int kind = 0; kind < kinds.length; kind++) {
            calculate(nowMs, kind);
            if (kinds[kind].known) {
                lowestPerMs = Math.min(lowestPerMs, kinds[kind].perMs);
            }
        }
        lowestPerMs = Double.isInfinite(lowestPerMs) ? 0 : lowestPerMs;
    }

    private void calculate(double nowMs, int kind) {
        Sums all = new Sums();
        Sums warm = new Sums();
        for (int i = 0; i < endpoints.rankedCount(); i++) {
            ServerState server = endpoints.ranked(i);
            if (server.endpoint().kind() != kind || server.failures() > 0) {
                continue;
            }
            double serverPerMs = server.answerRate().perMs(nowMs);
            double capacity = capacityFraction.of(nowMs, server);
            all.add(server, serverPerMs, capacity);
            if (capacity >= 1) {
                warm.add(server, serverPerMs, capacity);
            }
        }
        update(nowMs, kinds[kind], all, warm);
    }

    private static void update(double nowMs, KindEstimate estimate, Sums all, Sums warm) {
        if (warm.servers > 0) {
            estimate.lastWarmPerMs = warm.perMs();
            estimate.lastWarmAtMs = nowMs;
        }
        if (all.servers > 0) {
            estimate.averageWeight = all.weight / all.servers;
        }
        boolean remembered = nowMs - estimate.lastWarmAtMs <= REMEMBERED_MS;
        estimate.perMs = Math.max(all.perMs(), remembered ? estimate.lastWarmPerMs : 0);
        estimate.known = remembered || all.servers > 0;
    }
}
