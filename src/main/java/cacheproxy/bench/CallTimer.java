package cacheproxy.bench;

import java.util.function.IntToLongFunction;

/** Times short calls on the calling thread: several rounds of many calls each, after rounds to warm up. */
final class CallTimer {
    private static final int WARM_UP_ROUNDS = 4;
    private static final int ROUNDS = 9;

    private final int callsPerRound;

    @SuppressWarnings("UnusedVariable") // keeps the compiler from dropping what is measured
    private long sink;

    /** Creates a timer whose rounds have so many calls. */
    CallTimer(int callsPerRound) {
        this.callsPerRound = callsPerRound;
    }

    /**
     * The cost of a call.
     *
     * @param nanos time of a call: median, least and greatest of the rounds
     * @param garbageBytes allocated by a call in the last round
     */
    record Cost(Spread nanos, long garbageBytes) {}

    /** Times a function that is called with the numbers of the calls, from 0 on in each round. */
    Cost time(IntToLongFunction call) {
        double[] nanos = new double[ROUNDS];
        long allocated = 0;
        for (int round = -WARM_UP_ROUNDS; round < ROUNDS; round++) {
            long allocatedBefore = ThreadCounters.allocatedBytes();
            long start = System.nanoTime();
            for (int i = 0; i < callsPerRound; i++) {
                sink += call.applyAsLong(i);
            }
            if (round >= 0) {
                nanos[round] = (System.nanoTime() - start) / (double) callsPerRound;
            }
            allocated = ThreadCounters.allocatedBytes() - allocatedBefore;
        }
        return new Cost(Spread.range(nanos), allocated / callsPerRound);
    }
}
