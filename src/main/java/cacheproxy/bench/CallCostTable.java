package cacheproxy.bench;

import java.io.PrintWriter;
import java.util.function.IntToLongFunction;

/** A printed table of what calls cost in time and garbage, one row a call. */
final class CallCostTable {
    private final PrintWriter out;
    private final CallTimer timer;

    /** Prints the table's head; each row will be measured in rounds of so many calls. */
    CallCostTable(PrintWriter out, String title, int callsPerRound) {
        this.out = out;
        timer = new CallTimer(callsPerRound);
        out.printf("%-34s %22s %12s%n", title, "ns", "garbage B");
    }

    /** Measures a call and prints its row. */
    void row(String name, IntToLongFunction call) {
        CallTimer.Cost cost = timer.time(call);
        out.printf("%-34s %22s %12d%n", name, cost.nanos().format(0), cost.garbageBytes());
        out.flush();
    }
}
