package cacheproxy.simulation;

import cacheproxy.simulation.QuotaSimulation.Fault;
import cacheproxy.simulation.QuotaSimulation.FaultKind;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** The links between the proxies of a {@link QuotaSimulation}, with the faults of now. */
final class SimulatedQuotaNetwork {
    private static final double MIN_DELAY_MS = 0.1;

    private final VirtualClock clock;
    private final SplittableRandom random;
    private final List<Fault> activeFaults = new ArrayList<>();
    private long messages;

    SimulatedQuotaNetwork(VirtualClock clock, SplittableRandom random) {
        this.clock = clock;
        this.random = random;
    }

    /** Adds a fault, of links or of proxies. */
    void begin(Fault fault) {
        activeFaults.add(fault);
    }

    /** Removes a fault. */
    void end(Fault fault) {
        activeFaults.remove(fault);
    }

    /** Returns whether a proxy is paused by a fault of now. */
    boolean isPaused(int proxy) {
        return activeFaults.stream()
                .anyMatch(fault ->
                        fault.kind() == FaultKind.PAUSE && fault.proxies().contains(proxy));
    }

    /** Returns how many messages were sent, whether they arrived or not. */
    long messages() {
        return messages;
    }

    /** Sends a message, whose delivery runs for each copy that arrives. */
    void send(int from, int to, Runnable delivery) {
        messages++;
        double delayMs = MIN_DELAY_MS + random.nextDouble();
        int copies = 1;
        for (Fault fault : activeFaults) {
            boolean hitsSender = fault.proxies().contains(from);
            boolean hitsReceiver = fault.proxies().contains(to);
            switch (fault.kind()) {
                case ISOLATE -> copies = hitsSender || hitsReceiver ? 0 : copies;
                case BLOCK_SENDING -> copies = hitsSender ? 0 : copies;
                case PARTITION -> copies = hitsSender != hitsReceiver ? 0 : copies;
                case LOSE -> copies = random.nextDouble() < fault.magnitude() ? 0 : copies;
                case DELAY -> delayMs += fault.magnitude() * random.nextDouble();
                case DUPLICATE -> copies *= 2;
                default -> {}
            }
        }
        for (int copy = 0; copy < copies; copy++) {
            clock.at(clock.nowMs() + delayMs * (1 + copy * random.nextDouble()), delivery);
        }
    }

    /** Returns whether two proxies can exchange messages. */
    boolean isConnected(int proxy, int other) {
        return activeFaults.stream().noneMatch(fault -> separates(fault, proxy, other));
    }

    private static boolean separates(Fault fault, int proxy, int other) {
        boolean hitsProxy = fault.proxies().contains(proxy);
        boolean hitsOther = fault.proxies().contains(other);
        return switch (fault.kind()) {
            case PARTITION -> hitsProxy != hitsOther;
            case ISOLATE, BLOCK_SENDING -> hitsProxy || hitsOther;
            default -> false;
        };
    }
}
