package cacheproxy.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import cacheproxy.fakes.FakeFleet;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Requests during whose hook call the time limit ends, the client disconnects, or the module is replaced or traps. */
@Timeout(120)
class HooksInCallTest {
    private static final Path BY_KEY =
            Path.of("src/test/resources/hooks/by-key.wasm").toAbsolutePath();
    /** So much fuel that the time limit ends every call first. */
    private static final String FUEL = "fuel = 1e9\nbreaker_share = 1.0\n";

    private static String file(FakeFleet fleet, String hookKeys) {
        String hook = hookKeys == null
                ? ""
                : "[[hook]]\nname = \"h\"\nmodule = \"" + BY_KEY + "\"\n" + FUEL + hookKeys + "\n";
        return DaemonHarness.LIMITS
                + DaemonHarness.CLASSES
                + DaemonHarness.MAIN_LISTENER
                + hook
                + DaemonHarness.pool("a", fleet, "", fleet.nodes.get(0))
                + DaemonHarness.route("all", "", "a");
    }

    private static boolean isHookRunning() {
        return Thread.getAllStackTraces().entrySet().stream()
                .anyMatch(thread -> thread.getKey().getName().equals("hook h")
                        && Arrays.stream(thread.getValue())
                                .anyMatch(frame -> frame.getMethodName().equals("call")
                                        && frame.getClassName().endsWith("HookInstance")));
    }

    private static void awaitHookRunning() {
        while (!isHookRunning()) {
            Thread.onSpinWait();
        }
    }

    @Test
    void appliesFailureRuleWhenCallTimesOut() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet, "time_ms = 20"));
                DaemonHarness.ManualClient client = harness.connect()) {
            assertThat(client.send("mg s1 v\r\n").lines(2)).containsExactly("VA 11", "value of s1");
            // The thread is free again, and its next call has a new instance.
            assertThat(client.send("mg k v\r\n").lines(2)).containsExactly("VA 11", "value of n1");
        }
    }

    @Test
    void limitsCallToHalfOfRemainingDeadline() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet, "time_ms = 10000"));
                DaemonHarness.ManualClient client = harness.connect()) {
            // The call would end after 3 s, within its limit of 10 s and the deadline of 4 s; after 2 s, half of the
            // deadline, the request continues without it.
            assertThat(client.send("mg l v Pd=4000\r\n").lines(2)).containsExactly("VA 10", "value of l");
        }
    }

    @Test
    void usesNewInstanceAfterTrap() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet, "time_ms = 10000"));
                DaemonHarness.ManualClient client = harness.connect()) {
            assertThat(client.send("mg a v\r\n").lines(2)).containsExactly("VA 11", "value of n1");
            assertThat(client.send("mg b v\r\n").lines(2)).containsExactly("VA 11", "value of n2");
            assertThat(client.send("mg t v\r\n").lines(2)).containsExactly("VA 10", "value of t");
            assertThat(client.send("mg c v\r\n").lines(2)).containsExactly("VA 11", "value of n1");
        }
    }

    /**
     * Waits until the event loop has handled all earlier events, and returns whether the call still runs: only then is
     * the round valid.
     */
    private static boolean stillRunsAfterLoopTurn(DaemonHarness harness) {
        harness.daemon.pendingRequests();
        return isHookRunning();
    }

    @Test
    void sendsNoRequestForClientThatLeftDuringCall() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        try (DaemonHarness harness = new DaemonHarness(fleet, file(fleet, "time_ms = 10000"));
                DaemonHarness.ManualClient other = harness.connect()) {
            for (int call = 1; call < 10; call += 2) { // the digit in the key that the hook orders identifies the call
                fleet.nodes.get(0).store("n" + (call + 1), "kept".getBytes(StandardCharsets.UTF_8));
                int before = fleet.nodes.get(0).commands();
                DaemonHarness.ManualClient leavingClient = harness.connect();
                leavingClient.send("mg w v\r\n");
                awaitHookRunning();
                leavingClient.socket.shutdownOutput();
                assertThat(leavingClient.line())
                        .as("the daemon has closed the connection")
                        .isNull();
                boolean seen = stillRunsAfterLoopTurn(harness);
                leavingClient.close();
                // This call is queued after the first, so the end of the first has been handled when this one is
                // answered.
                assertThat(other.send("mg x v\r\n").lines(2)).containsExactly("VA 4", "kept");
                if (seen) {
                    assertThat(fleet.nodes.get(0).commands()).isEqualTo(before + 1);
                    return;
                }
            }
            throw new AssertionError("the machine was too slow in every round");
        }
    }

    @Test
    void finishesCallAndAppliesOrdersOfReplacedModule() throws Exception {
        FakeFleet fleet = new FakeFleet(1);
        String withHook = file(fleet, "time_ms = 10000");
        try (DaemonHarness harness = new DaemonHarness(fleet, withHook)) {
            boolean seen = false;
            for (int round = 0; round < 10 && !seen; round++) {
                try (DaemonHarness.ManualClient client = harness.connect()) {
                    client.send("mg w v\r\n");
                    awaitHookRunning();
                    harness.load(file(fleet, null));
                    seen = isHookRunning();
                    try (DaemonHarness.ManualClient after = harness.connect()) {
                        assertThat(after.send("mg k v\r\n").lines(2)).containsExactly("VA 10", "value of k");
                    }
                    assertThat(client.lines(2)).containsExactly("VA 11", "value of n1");
                }
                while (Thread.getAllStackTraces().keySet().stream()
                        .anyMatch(thread -> thread.getName().equals("hook h"))) {
                    Thread.onSpinWait(); // the hook's thread ends with the last request of its configuration
                }
                harness.load(withHook);
            }
            assertThat(seen)
                    .as("a round in which the call was still running after the reload")
                    .isTrue();
        }
    }
}
