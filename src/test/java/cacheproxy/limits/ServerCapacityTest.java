package cacheproxy.limits;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Backoff after refused connections, and the limit of one connection while any server refuses. */
class ServerCapacityTest {
    private final ConnectionShortage shortage = new ConnectionShortage();

    @Test
    void backsOffExponentiallyWhileConnectionsAreRefused() {
        ServerCapacity capacity = new ServerCapacity(shortage);
        double nowMs = 1000;
        List<Double> waits = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            capacity.connectionRefused(nowMs);
            double refusedAtMs = nowMs;
            while (!capacity.mayOpen(nowMs, 0)) {
                nowMs += 250;
            }
            waits.add(nowMs - refusedAtMs);
        }
        assertThat(waits).containsExactly(500.0, 1000.0, 2000.0, 4000.0, 4000.0);
        capacity.connectionAccepted();
        capacity.connectionRefused(nowMs);
        assertThat(capacity.mayOpen(nowMs + 500, 0)).isTrue();
    }

    @Test
    void refusalForbidsSecondConnectionsToAllServers() {
        ServerCapacity full = new ServerCapacity(shortage);
        ServerCapacity other = new ServerCapacity(shortage);
        assertThat(other.mayOpen(0, 1)).isTrue();
        full.connectionRefused(0);
        assertThat(other.mayOpen(1, 0)).isTrue();
        assertThat(other.mayOpen(1, 1)).isFalse();
        assertThat(other.mayOpen(ConnectionShortage.DURATION_MS, 1)).isTrue();
    }

    /**
     * With fourteen proxies and servers that accept twelve connections, no proxy stays without one while another has
     * two.
     */
    @Test
    void proxiesSettleOnOneConnectionEachWhenConnectionsAreScarce() {
        SimulatedFleet fleet = new SimulatedFleet();
        int refusedInSecondHalf = 0;
        for (int nowMs = 0; nowMs < 60_000; nowMs++) {
            boolean refused = fleet.sendRequest(nowMs);
            refusedInSecondHalf += refused && nowMs >= 30_000 ? 1 : 0;
            if (nowMs % 1000 == 0) {
                fleet.closeSpareConnections(nowMs);
            }
        }
        int proxiesWithoutConnection = 0;
        for (int[] connectionsOfProxy : fleet.connections) {
            for (int open : connectionsOfProxy) {
                assertThat(open).isLessThanOrEqualTo(1);
                proxiesWithoutConnection += open == 0 ? 1 : 0;
            }
        }
        assertThat(proxiesWithoutConnection)
                .isEqualTo((SimulatedFleet.PROXIES - SimulatedFleet.CONNECTION_LIMIT) * SimulatedFleet.SERVERS);
        assertThat(refusedInSecondHalf).as("of 30,000 requests").isLessThan(30_000 / 60);
    }

    /**
     * Proxies that together send one request a millisecond to servers that accept too few connections for all of them.
     */
    private static final class SimulatedFleet {
        static final int PROXIES = 14;
        static final int SERVERS = 20;
        static final int CONNECTION_LIMIT = 12;

        final int[][] connections = new int[PROXIES][SERVERS];
        private final SplittableRandom random = new SplittableRandom(7);
        private final ConnectionShortage[] shortages = new ConnectionShortage[PROXIES];
        private final ServerCapacity[][] capacities = new ServerCapacity[PROXIES][SERVERS];

        SimulatedFleet() {
            for (int proxy = 0; proxy < PROXIES; proxy++) {
                shortages[proxy] = new ConnectionShortage();
                for (int server = 0; server < SERVERS; server++) {
                    capacities[proxy][server] = new ServerCapacity(shortages[proxy]);
                }
            }
        }

        /** Sends one request, every third while another is pending; returns whether a new connection was refused. */
        boolean sendRequest(int nowMs) {
            int proxy = random.nextInt(PROXIES);
            int server = random.nextInt(SERVERS);
            int open = connections[proxy][server];
            boolean needsConnection = open == 0 || (open == 1 && random.nextInt(3) == 0);
            if (!needsConnection || !capacities[proxy][server].mayOpen(nowMs, open)) {
                return false;
            }
            int openAtServer = Arrays.stream(connections)
                    .mapToInt(ofProxy -> ofProxy[server])
                    .sum();
            if (openAtServer >= CONNECTION_LIMIT) {
                capacities[proxy][server].connectionRefused(nowMs);
                return true;
            }
            connections[proxy][server]++;
            capacities[proxy][server].connectionAccepted();
            return false;
        }

        /** Closes second connections of proxies that know of a shortage. */
        void closeSpareConnections(int nowMs) {
            for (int proxy = 0; proxy < PROXIES; proxy++) {
                for (int server = 0; server < SERVERS; server++) {
                    if (connections[proxy][server] == 2 && shortages[proxy].isActive(nowMs)) {
                        connections[proxy][server] = 1;
                    }
                }
            }
        }
    }
}
