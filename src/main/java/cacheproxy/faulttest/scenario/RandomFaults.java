package cacheproxy.faulttest.scenario;

import cacheproxy.faulttest.scenario.Fault.Kind;
import cacheproxy.faulttest.scenario.Fault.LinkFigures;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Faults by lot: the same seed makes the same ones. Between two that befall the same process there may be no gap; the
 * driver lets the later one have its turn.
 *
 * @param faults how many
 * @param kinds which; LINK stands for cuts, one-way cuts, losses, doubling and delays alike
 * @param fromMs the first may begin then
 * @param toMs the last has ended then
 * @param longestMs the longest that one lasts, a tenth of it the shortest
 */
public record RandomFaults(int faults, List<Kind> kinds, double fromMs, double toMs, double longestMs) {
    private static final double BEAT_MS = 50;

    public RandomFaults {
        kinds = List.copyOf(kinds);
        if (faults < 0 || kinds.isEmpty() || !(toMs - fromMs >= longestMs) || !(longestMs > 0)) {
            throw new IllegalArgumentException(
                    "chaos of " + faults + " from " + fromMs + " to " + toMs + ", longest " + longestMs);
        }
    }

    /** In the order of their beginnings, with names, not choices by lot. */
    public List<Fault> faults(TargetSelector endpoints, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        List<Fault> list = new ArrayList<>();
        for (int i = 0; i < faults; i++) {
            Kind kind = kinds.get(random.nextInt(kinds.size()));
            double lasts = Math.round(longestMs * (0.1 + 0.9 * random.nextDouble()));
            double at = Math.round(fromMs + random.nextDouble() * (toMs - fromMs - lasts));
            list.add(fault(kind, at, lasts, endpoints, random));
        }
        list.sort(Comparator.comparingDouble(Fault::atMs));
        return list;
    }

    private static Fault fault(Kind kind, double at, double lasts, TargetSelector endpoints, SplittableRandom random) {
        if (kind == Kind.LINK) {
            boolean twoWay = random.nextInt(3) > 0;
            List<String> some = endpoints.choose(
                    (1 + random.nextInt(Math.max(1, endpoints.proxies() / 2))) + " of proxies", random);
            List<String> rest = new ArrayList<>(endpoints.choose("proxies", random));
            rest.removeAll(some);
            LinkFigures figures = switch (random.nextInt(4)) {
                case 0 -> new LinkFigures(0.3 + 0.3 * random.nextDouble(), 0, 20, 0.1, 0, false);
                case 1 -> new LinkFigures(0, random.nextInt(500), 500, 1, 0.05, false);
                default -> LinkFigures.CUT;
            };
            return new Fault(kind, at, lasts, some, rest, twoWay, figures, 1, 0, false, 0);
        }
        boolean node = kind == Kind.NODE_DRAIN || kind == Kind.NODE_KILL || kind == Kind.NODE_STALL;
        List<String> who = endpoints.choose(node ? "1 of nodes" : "1 of proxies", random);
        return new Fault(
                kind,
                at,
                lasts,
                who,
                List.of(),
                false,
                null,
                kind == Kind.SLOW ? 0.1 : 1,
                BEAT_MS,
                random.nextBoolean(),
                0);
    }
}
