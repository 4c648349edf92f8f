package cacheproxy.faulttest.scenario;

import cacheproxy.faulttest.scenario.Fault.Kind;
import cacheproxy.faulttest.scenario.Fault.LinkFault;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Random faults; the same seed gives the same faults. Faults of the same process can overlap; the fault injector
 * decides which effect the later one has.
 *
 * @param count number of faults
 * @param kinds the kinds to draw from; LINK includes cuts, one-way cuts, losses, duplicates and delays
 * @param fromMs earliest beginning of a fault
 * @param toMs latest end of a fault
 * @param maxDurationMs longest duration of a fault; the shortest is a tenth of it
 */
public record RandomFaults(int count, List<Kind> kinds, double fromMs, double toMs, double maxDurationMs) {
    private static final double SLOW_CYCLE_MS = 50;
    private static final double SLOW_SPEED_SHARE = 0.1;

    /** Checks the components; throws an IllegalArgumentException if they don't fit together. */
    public RandomFaults {
        kinds = List.copyOf(kinds);
        if (count < 0 || kinds.isEmpty() || !(toMs - fromMs >= maxDurationMs) || !(maxDurationMs > 0)) {
            throw new IllegalArgumentException("random faults don't fit together (times in ms): count " + count
                    + ", from " + fromMs + " to " + toMs + ", longest " + maxDurationMs);
        }
    }

    /** Draws the faults, ordered by their beginnings. Targets are given by name, so that no later draw is needed. */
    public List<Fault> draw(TargetSelector endpoints, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> drawn = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            double durationMs = Math.round(maxDurationMs * (0.1 + 0.9 * random.nextDouble()));
            double atMs = Math.round(fromMs + random.nextDouble() * (toMs - fromMs - durationMs));
            drawn.add(
                    kind == Kind.LINK
                            ? drawLinkFault(atMs, durationMs, endpoints, random)
                            : drawEndpointFault(kind, atMs, durationMs, endpoints, random));
        }
        drawn.sort(Comparator.comparingDouble(Fault::atMs));
        return drawn;
    }

    private static Fault drawLinkFault(
            double atMs, double durationMs, TargetSelector endpoints, SplittableRandom random) {
        boolean twoWay = random.nextInt(3) > 0;
        int targetCount = 1 + random.nextInt(Math.max(1, endpoints.proxies() / 2));
        List<String> targets = endpoints.select(targetCount + " of proxies", random);
        List<String> linkPeers = new ArrayList<>(endpoints.select("proxies", random));
        linkPeers.removeAll(targets);
        LinkFault linkFault = switch (random.nextInt(4)) {
            case 0 -> new LinkFault(0.3 + 0.3 * random.nextDouble(), 0, 20, 0.1, 0, false);
            case 1 -> new LinkFault(0, random.nextInt(500), 500, 1, 0.05, false);
            default -> LinkFault.CUT;
        };
        return new Fault(Kind.LINK, atMs, durationMs, targets, linkPeers, twoWay, linkFault, 1, 0, false, 0);
    }

    private static Fault drawEndpointFault(
            Kind kind, double atMs, double durationMs, TargetSelector endpoints, SplittableRandom random) {
        List<String> targets = endpoints.select(kind.hitsServers() ? "1 of nodes" : "1 of proxies", random);
        boolean emptyDisk = random.nextBoolean();
        return new Fault(
                kind, atMs, durationMs, targets, List.of(), false, null, SLOW_SPEED_SHARE, SLOW_CYCLE_MS, emptyDisk, 0);
    }
}
