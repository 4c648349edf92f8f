package cacheproxy.simulation;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.List;

/**
 * The lease of the allocator in a {@link QuotaSimulation}. A proxy that reaches a majority holds it; one that lost the
 * majority holds it for the lease's duration more, and another one can have it after that.
 */
final class SimulatedAllocatorLease {
    private static final double DURATION_MS = 1000;
    private static final double TAKEOVER_MS = 300;
    private static final double RENEW_INTERVAL_MS = 10;
    private static final int NONE = -1;

    private final VirtualClock clock;
    private final SimulatedQuotaNetwork network;
    private final List<SimulatedQuotaProxy> proxies;
    private int holder = NONE;
    private long epoch;
    private double heldUntilMs;
    private double renewedMs = Double.NEGATIVE_INFINITY;

    /** @param proxies by their indices, all of them when the simulation runs */
    SimulatedAllocatorLease(VirtualClock clock, SimulatedQuotaNetwork network, List<SimulatedQuotaProxy> proxies) {
        this.clock = clock;
        this.network = network;
        this.proxies = proxies;
    }

    /** Renews the lease, or gives it to another proxy, if that is due. */
    void update() {
        double nowMs = clock.nowMs();
        if (nowMs < renewedMs + RENEW_INTERVAL_MS) {
            return;
        }
        renewedMs = nowMs;
        if (holder != NONE) {
            renew(nowMs);
        }
        if (holder == NONE || nowMs > heldUntilMs + TAKEOVER_MS) {
            elect(nowMs);
        }
    }

    private void renew(double nowMs) {
        if (reachesMajority(holder)) {
            heldUntilMs = nowMs + DURATION_MS;
        } else if (proxies.get(holder).isKilled()) {
            heldUntilMs = Math.min(heldUntilMs, nowMs + DURATION_MS);
        }
    }

    private void elect(double nowMs) {
        for (int candidate = 0; candidate < proxies.size(); candidate++) {
            if (reachesMajority(candidate)) {
                holder = candidate;
                epoch++;
                heldUntilMs = nowMs + DURATION_MS;
                return;
            }
        }
    }

    private boolean reachesMajority(int proxy) {
        if (!proxies.get(proxy).isRunning()) {
            return false;
        }
        int reached = 0;
        for (int other = 0; other < proxies.size(); other++) {
            boolean reaches = other == proxy || (proxies.get(other).isRunning() && network.isConnected(proxy, other));
            reached += reaches ? 1 : 0;
        }
        return reached * 2 > proxies.size();
    }

    /** Returns the lease as a proxy sees it. */
    LeaseHandle handleOf(int proxy) {
        return new Handle(proxy);
    }

    private final class Handle implements LeaseHandle {
        private final int proxy;

        Handle(int proxy) {
            this.proxy = proxy;
        }

        @Override
        public long permit(double nowMs, double actionMs) {
            return holder == proxy && clock.nowMs() < heldUntilMs ? epoch : NOT_PERMITTED;
        }

        @Override
        public double remainingMs(double nowMs) {
            return permit(nowMs, 0) < 0 ? 0 : heldUntilMs - clock.nowMs();
        }

        @Override
        public long holder(double nowMs) {
            return holder == NONE ? NameHash.NO_ID : SimulatedQuotaProxy.peerId(holder);
        }

        @Override
        public List<Long> candidateOrder() {
            return SimulatedQuotaProxy.peerIds(proxies.size());
        }

        @Override
        public long id() {
            return 1;
        }
    }
}
