package cacheproxy.fleet.healthcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Checks that this proxy is making, at most one of each server. */
final class RunningChecks {
    /** Proxies that wait for one check. */
    static final int MAX_WAITERS = 256;
    /** A check that has not ended after so many timeouts failed: the pool that made it may be gone. */
    private static final double OVERDUE_FACTOR = 2;

    /**
     * Another proxy that waits for a check.
     *
     * @param proxy its id
     * @param requestNumber of its request
     */
    record Waiter(long proxy, long requestNumber) {}

    /** A check that has begun. */
    static final class RunningCheck {
        private final double overdueAtMs;
        private final List<Waiter> waiters = new ArrayList<>();
        private boolean requestedLocally;

        private RunningCheck(double overdueAtMs) {
            this.overdueAtMs = overdueAtMs;
        }

        /** Adds a waiter; beyond {@value RunningChecks#MAX_WAITERS} it is left to its own timeout. */
        void addWaiter(Waiter waiter) {
            if (waiters.size() < MAX_WAITERS) {
                waiters.add(waiter);
            }
        }

        /** Those that wait for it, in the order of their requests. */
        List<Waiter> waiters() {
            return waiters;
        }

        /** This proxy wants the result itself. */
        void requestLocally() {
            requestedLocally = true;
        }

        /** Whether this proxy wants the result itself. */
        boolean isRequestedLocally() {
            return requestedLocally;
        }
    }

    private final Map<Integer, RunningCheck> checks = new HashMap<>();

    /** The check of a server; null if none is running. */
    RunningCheck get(int server) {
        return checks.get(server);
    }

    /** Records that a check begins. */
    RunningCheck begin(int server, double nowMs, double timeoutMs) {
        RunningCheck check = new RunningCheck(nowMs + OVERDUE_FACTOR * timeoutMs);
        checks.put(server, check);
        return check;
    }

    /** Removes the check of a server and returns it; null if none is running. */
    RunningCheck remove(int server) {
        return checks.remove(server);
    }

    /** How many are running. */
    int size() {
        return checks.size();
    }

    /** Servers whose check is overdue. */
    List<Integer> overdue(double nowMs) {
        List<Integer> servers = new ArrayList<>();
        checks.forEach((server, check) -> {
            if (nowMs >= check.overdueAtMs) {
                servers.add(server);
            }
        });
        return servers;
    }

    /** When the next check becomes overdue, {@code nowMs} at the earliest; infinite if none is running. */
    double nextOverdueMs(double nowMs) {
        double nextMs = Double.POSITIVE_INFINITY;
        for (RunningCheck check : checks.values()) {
            nextMs = Math.min(nextMs, Math.max(nowMs, check.overdueAtMs));
        }
        return nextMs;
    }
}
