package cacheproxy.simulation;

import java.util.Collection;

/** The sums of a {@link FleetSimulation} while it runs. */
final class FleetMetrics {
    private int requests;
    private int served;
    private int maxWriteEffects;
    private int attempts;
    private int crossZoneAttempts;
    private int rejectedAttempts;
    private int unreachableAttempts;
    private int hedgedAttempts;
    private int originReads;
    private long events;

    /** Records a client's request, not its retries. */
    void recordRequest() {
        requests++;
    }

    /** Records that a request was served. */
    void recordServed() {
        served++;
    }

    /** Records an attempt, and whether another one of its request was in flight. */
    void recordAttempt(boolean withinZone, boolean hedged) {
        attempts++;
        crossZoneAttempts += withinZone ? 0 : 1;
        hedgedAttempts += hedged ? 1 : 0;
    }

    /** Records an attempt that its server rejected. */
    void recordRejectedAttempt() {
        rejectedAttempts++;
    }

    /** Records an attempt whose server had ended or was isolated. */
    void recordUnreachableAttempt() {
        unreachableAttempts++;
    }

    /** Records how often a write has taken effect by now. */
    void recordWriteEffects(int times) {
        maxWriteEffects = Math.max(maxWriteEffects, times);
    }

    /** Records a read that was sent to the origin. */
    void recordOriginRead() {
        originReads++;
    }

    /** Records an event that a policy was told of. */
    void recordEvent() {
        events++;
    }

    /** Returns the sums at the end. */
    FleetSimulationResult result(int unanswered, Collection<SimulatedServer> servers) {
        double maxColdLoad = 0;
        double maxBudgetUse = 0;
        int coldAttempts = 0;
        for (SimulatedServer server : servers) {
            maxColdLoad = Math.max(maxColdLoad, server.maxColdLoad());
            maxBudgetUse = Math.max(maxBudgetUse, server.maxBudgetUse());
            coldAttempts += server.coldAttempts();
        }
        return new FleetSimulationResult(
                requests,
                served,
                unanswered,
                maxColdLoad,
                maxBudgetUse,
                maxWriteEffects,
                attempts,
                crossZoneAttempts,
                rejectedAttempts,
                unreachableAttempts,
                hedgedAttempts,
                coldAttempts,
                originReads,
                events);
    }
}
