package cacheproxy.bench;

import cacheproxy.fleet.lease.LeaseMessage;
import cacheproxy.fleet.peer.DatagramEnvelope;
import java.io.PrintWriter;

/**
 * What leases cost a proxy where nothing fails: datagrams and transfers in an hour of virtual time, and the processor
 * time and garbage of one peer's calls, measured over the same calls.
 */
final class LeaseBench {
    private static final double HOUR_MS = 3_600_000;
    private static final double START_MS = 60_000;
    private static final double MEASURED_START_MS = 20_000;
    private static final double MEASURED_SECONDS = 30;
    /** From so many leases on, a tenth of an hour is simulated. */
    private static final int MANY_LEASES = 51;
    /** Of a whole datagram: the envelope without a key, and the message. */
    private static final int DATAGRAM_BYTES =
            DatagramEnvelope.MAX_DATAGRAM_BYTES - DatagramEnvelope.MAX_PAYLOAD_BYTES - 12 + LeaseMessage.LENGTH_BYTES;

    private static final Size[] SIZES = {
        new Size(5, 1), new Size(5, 7), new Size(100, 7), new Size(100, 200), new Size(500, 7)
    };
    private static final Size[] MEASURED_SIZES = {new Size(5, 1), new Size(5, 7), new Size(100, 7), new Size(100, 200)};

    private final PrintWriter out;

    LeaseBench(PrintWriter out) {
        this.out = out;
    }

    private record Size(int peers, int leases) {
        @Override
        public String toString() {
            return peers + ", " + leases;
        }
    }

    /** Prints a row of traffic and one of cost for each size; costs are measured for so many rounds. */
    void run(int rounds) {
        out.printf(
                "%-20s %16s %16s %14s %12s%n",
                "peers, duties", "datagrams/s each", "bytes/s each", "moves an hour", "without");
        for (Size size : SIZES) {
            printTraffic(size);
        }
        out.printf("%-20s %20s %20s %20s%n", "peers, duties", "ns a call", "us of loop a second", "garbage bytes/s");
        for (Size size : MEASURED_SIZES) {
            printCosts(size, rounds);
        }
    }

    private void printTraffic(Size size) {
        LeaseNetwork network = new LeaseNetwork(size.peers, size.leases, 1);
        network.runUntil(START_MS);
        LeaseNetwork.Counters atStart = network.counters();
        double spanMs = size.leases >= MANY_LEASES ? HOUR_MS / 10 : HOUR_MS;
        network.runUntil(START_MS + spanMs);
        LeaseNetwork.Counters span = network.counters().since(atStart);
        double perSecondAndPeer = span.sent() / spanMs * 1000 / size.peers;
        int unheld = size.leases - (atStart.gained() - atStart.lost());
        out.printf(
                "%-20s %16.2f %16.0f %14d %12s%n",
                size + (spanMs < HOUR_MS ? " (6 min)" : ""),
                perSecondAndPeer,
                perSecondAndPeer * DATAGRAM_BYTES,
                span.gained(),
                unheld + " unheld");
        out.flush();
    }

    private void printCosts(Size size, int rounds) {
        double[] nanosPerCall = new double[rounds];
        double[] microsPerSecond = new double[rounds];
        double[] garbagePerSecond = new double[rounds];
        for (int round = 0; round < rounds; round++) {
            LeaseNetwork network = new LeaseNetwork(size.peers, size.leases, round + 1);
            network.runMeasuredUntil(MEASURED_START_MS);
            LeaseNetwork.Counters atStart = network.counters();
            network.runMeasuredUntil(MEASURED_START_MS + MEASURED_SECONDS * 1000);
            LeaseNetwork.Counters span = network.counters().since(atStart);
            nanosPerCall[round] = (double) span.nanos() / span.calls();
            microsPerSecond[round] = span.nanos() / 1e3 / MEASURED_SECONDS;
            garbagePerSecond[round] = span.garbageBytes() / MEASURED_SECONDS;
        }
        out.printf(
                "%-20s %20s %20s %20s%n",
                size,
                Spread.range(nanosPerCall).format(0),
                Spread.range(microsPerSecond).format(0),
                Spread.range(garbagePerSecond).format(0));
        out.flush();
    }
}
