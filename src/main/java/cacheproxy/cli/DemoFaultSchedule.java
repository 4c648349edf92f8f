package cacheproxy.cli;

import cacheproxy.fakes.Demo;
import cacheproxy.fakes.FakeFleet;
import java.io.PrintWriter;
import java.util.SplittableRandom;

/**
 * The faults of a demo: one after each tenth of its requests, on servers chosen at random by the seed, each printed as
 * it begins. Must be called only on the event loop of the fake fleet.
 */
final class DemoFaultSchedule {
    private static final int STEPS = 10;
    private static final int RESTART_STEP = 5;

    private final FakeFleet fleet;
    private final PrintWriter out;
    private final SplittableRandom random;
    private final int requestsPerStep;
    private int stepsDone;

    /** Creates the schedule for a run of {@code requests} requests. */
    DemoFaultSchedule(FakeFleet fleet, int requests, long seed, PrintWriter out) {
        this.fleet = fleet;
        this.out = out;
        random = new SplittableRandom(seed);
        requestsPerStep = Math.max(1, requests / STEPS);
    }

    /** Injects the next fault if a further tenth of the requests has been answered. */
    void onProgress(int answered) {
        if (answered < (stepsDone + 1) * requestsPerStep || stepsDone == STEPS) {
            return;
        }
        stepsDone++;
        out.println(stepsDone * 100 / STEPS + "%: " + injectFault());
        out.flush();
    }

    /** Starts the fault of the current step, without waiting for it, and describes it. */
    private String injectFault() {
        int first = random.nextInt(Demo.NODE_COUNT);
        int second = (first + 1 + random.nextInt(Demo.NODE_COUNT - 1)) % Demo.NODE_COUNT;
        if (stepsDone == RESTART_STEP) {
            new Thread(() -> restart(first)).start(); // a restart waits for this event loop, so it must not run on it
            return "node " + first + " restarts cold";
        }
        if (stepsDone < STEPS) {
            fleet.nodes.get(first).stall(Demo.STALL_MS);
            fleet.nodes.get(second).stall(Demo.STALL_MS);
            return "nodes " + first + " and " + second + " stall for " + (int) Demo.STALL_MS + " ms";
        }
        return "done";
    }

    private void restart(int server) {
        try {
            fleet.restart(server);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
