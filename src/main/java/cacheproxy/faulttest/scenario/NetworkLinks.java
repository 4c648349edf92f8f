package cacheproxy.faulttest.scenario;

import cacheproxy.faulttest.scenario.Fault.LinkFigures;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Which links are faulty now, and what becomes of what is sent on them. Where several faults lie on one link each has
 * its turn: what one lets through the next may still lose, delays add up. By ordered pair of {@link TargetSelector}'
 * indices.
 */
public final class NetworkLinks {
    /** Of one that is sent: how much later it comes, and whether a byte of it is changed. */
    public record Delivery(double delayMs, boolean corrupt) {}

    private static final Delivery AT_ONCE = new Delivery(0, false);
    private static final List<Delivery> CLEAN = List.of(AT_ONCE);

    private record Rule(Fault fault, BitSet who, BitSet to) {
        boolean on(int from, int dest) {
            return (who.get(from) && to.get(dest)) || (fault.twoWay() && to.get(from) && who.get(dest));
        }
    }

    private final TargetSelector endpoints;
    private final List<Rule> rules = new ArrayList<>();

    public NetworkLinks(TargetSelector endpoints) {
        this.endpoints = endpoints;
    }

    public void begin(Fault fault) {
        rules.add(new Rule(fault, set(fault.who()), set(fault.to())));
    }

    @SuppressWarnings("ReferenceEquality") // identity is meant
    public void end(Fault fault) {
        rules.removeIf(r -> r.fault == fault);
    }

    private BitSet set(List<String> names) {
        BitSet set = new BitSet(endpoints.count());
        names.forEach(n -> set.set(endpoints.index(n)));
        return set;
    }

    /** What becomes of a datagram: it comes as often as the list is long. */
    public List<Delivery> datagram(int from, int to, SplittableRandom random) {
        List<Delivery> out = CLEAN;
        for (Rule r : rules) {
            if (!r.on(from, to)) {
                continue;
            }
            LinkFigures f = r.fault.figures();
            List<Delivery> next = new ArrayList<>(out.size());
            for (Delivery d : out) {
                if (f.lose() > 0 && random.nextDouble() < f.lose()) {
                    continue;
                }
                int copies = f.twice() > 0 && random.nextDouble() < f.twice() ? 2 : 1;
                for (int i = 0; i < copies; i++) {
                    next.add(new Delivery(
                            d.delayMs + f.delayMs() + (f.jitterMs() > 0 ? random.nextDouble() * f.jitterMs() : 0),
                            d.corrupt || (f.corrupt() > 0 && random.nextDouble() < f.corrupt())));
                }
            }
            out = next;
        }
        return out;
    }

    /** Whether connections between the two are reset and new ones refused, in whichever direction it is said. */
    public boolean resets(int a, int b) {
        return rules.stream().anyMatch(r -> r.fault.figures().reset() && (r.on(a, b) || r.on(b, a)));
    }

    /** Whether bytes of a connection in this direction are held back: it stays open and silent. */
    public boolean holds(int from, int to) {
        return rules.stream().anyMatch(r -> r.fault.figures().lose() == 1 && r.on(from, to));
    }

    /** How much later bytes of a connection come in this direction; their order stays. */
    public double delayMs(int from, int to) {
        double sum = 0;
        for (Rule r : rules) {
            sum += r.on(from, to) ? r.fault.figures().delayMs() : 0;
        }
        return sum;
    }
}
