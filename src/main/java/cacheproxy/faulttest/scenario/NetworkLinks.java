package cacheproxy.faulttest.scenario;

import cacheproxy.faulttest.scenario.Fault.LinkFault;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The links that are currently faulty, and the effect of their faults on traffic. Links are ordered pairs of
 * {@link TargetSelector} indices. Several faults on one link apply one after another: a datagram that one fault lets
 * through can be lost by the next, and delays add up. Not thread-safe; the relays' event loop owns it.
 */
public final class NetworkLinks {
    /**
     * One arrival of a datagram.
     *
     * @param delayMs how much later it arrives
     * @param corrupt whether one byte of it is changed
     */
    public record Delivery(double delayMs, boolean corrupt) {}

    private static final List<Delivery> NORMAL_DELIVERY = List.of(new Delivery(0, false));

    private record ActiveFault(Fault fault, BitSet targets, BitSet linkPeers) {
        boolean applies(int from, int to) {
            return (targets.get(from) && linkPeers.get(to))
                    || (fault.twoWay() && linkPeers.get(from) && targets.get(to));
        }
    }

    private final TargetSelector endpoints;
    private final List<ActiveFault> activeFaults = new ArrayList<>();

    /** Makes links without faults. */
    public NetworkLinks(TargetSelector endpoints) {
        this.endpoints = endpoints;
    }

    /** Begins a link fault. */
    public void begin(Fault fault) {
        activeFaults.add(new ActiveFault(fault, indicesOf(fault.targets()), indicesOf(fault.linkPeers())));
    }

    /** Ends a link fault; it must be the same object that was passed to {@link #begin}. */
    @SuppressWarnings("ReferenceEquality") // only the fault object that began is to end
    public void end(Fault fault) {
        activeFaults.removeIf(activeFault -> activeFault.fault == fault);
    }

    private BitSet indicesOf(List<String> names) {
        BitSet indices = new BitSet(endpoints.size());
        names.forEach(name -> indices.set(endpoints.indexOf(name)));
        return indices;
    }

    /**
     * Draws the deliveries of a datagram: it arrives once for each element of the list, and not at all if the list is
     * empty.
     */
    public List<Delivery> deliveries(int from, int to, SplittableRandom random) {
        List<Delivery> deliveries = NORMAL_DELIVERY;
        for (ActiveFault activeFault : activeFaults) {
            if (activeFault.applies(from, to)) {
                deliveries = applyFault(deliveries, activeFault.fault.linkFault(), random);
            }
        }
        return deliveries;
    }

    private static List<Delivery> applyFault(List<Delivery> deliveries, LinkFault linkFault, SplittableRandom random) {
        List<Delivery> faultyDeliveries = new ArrayList<>(deliveries.size());
        for (Delivery delivery : deliveries) {
            if (occurs(linkFault.lossShare(), random)) {
                continue;
            }
            int copies = occurs(linkFault.duplicateShare(), random) ? 2 : 1;
            for (int i = 0; i < copies; i++) {
                double jitterMs = linkFault.jitterMs() > 0 ? random.nextDouble() * linkFault.jitterMs() : 0;
                double delayMs = delivery.delayMs + linkFault.delayMs() + jitterMs;
                boolean corrupt = delivery.corrupt || occurs(linkFault.corruptShare(), random);
                faultyDeliveries.add(new Delivery(delayMs, corrupt));
            }
        }
        return faultyDeliveries;
    }

    /** Returns true with a probability; draws a random number only if the probability is above 0. */
    private static boolean occurs(double probability, SplittableRandom random) {
        return probability > 0 && random.nextDouble() < probability;
    }

    /**
     * Returns whether connections between two endpoints are reset and new ones refused, whichever direction is faulty.
     */
    public boolean resetsConnections(int from, int to) {
        return activeFaults.stream()
                .anyMatch(activeFault -> activeFault.fault.linkFault().resetsConnections()
                        && (activeFault.applies(from, to) || activeFault.applies(to, from)));
    }

    /** Returns whether a connection stays open and transfers no bytes in this direction. */
    public boolean blocksConnections(int from, int to) {
        return activeFaults.stream()
                .anyMatch(
                        activeFault -> activeFault.fault.linkFault().lossShare() == 1 && activeFault.applies(from, to));
    }

    /** The delay of a connection's bytes in this direction, milliseconds; their order is preserved. */
    public double delayMs(int from, int to) {
        double sumMs = 0;
        for (ActiveFault activeFault : activeFaults) {
            sumMs += activeFault.applies(from, to)
                    ? activeFault.fault.linkFault().delayMs()
                    : 0;
        }
        return sumMs;
    }
}
