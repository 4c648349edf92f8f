package cacheproxy.fleet.healthcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Running checks of this proxy, at most one of each server. */
final class RunningChecks {
    /** Maximum number of proxies that wait for one check. */
    static final int MAX_WAITERS = 256;
    /**
     * A check that has not ended after this many timeouts counts as failed, because the pool that made it may no longer
     * exist.
     */
    private static final double OVERDUE_FACTOR = 2;

    /**
     * Another proxy that waits for a check.
     *
     * @param proxy the id of the proxy
     * @param requestNumber the number of its request
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

        /**
         * Adds a waiter; waiters beyond {@value RunningChecks#MAX_WAITERS} are not added, and their requests time out.
         */
        void addWaiter(Waiter waiter) {
            if (waiters.size() < MAX_WAITERS) {
                waiters.add(waiter);
            }
        }

        /** Returns the waiters in the order of their requests. */
        List<Waiter> waiters() {
            return waiters;
        }

        /** Records that this proxy itself needs the result. */
        void requestLocally() {
            requestedLocally = true;
        }

        /** Returns whether this proxy itself needs the result. */
        boolean isRequestedLocally() {
            return requestedLocally;
        }
    }

    private final Map<Integer, RunningCheck> checks = new HashMap<>();

    /** Returns the check of a server; null if none is running. */
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

    /** Returns the number of running checks. */
    int size() {
        return checks.size();
    }

    /** Returns the servers whose checks are overdue. */
    List<Integer> overdue(double nowMs) {
        List<Integer> servers = new ArrayList<>();
        checks.forEach((server, check) -> {
            if (nowMs >= check.overdueAtMs) {
                servers.add(server);
            }
        });
        return servers;
    }

    /** Returns when the next check becomes overdue, {@code nowMs} at the earliest; infinite if none is running. */
    double nextOverdueMs(double nowMs) {
        double nextMs = Double.POSITIVE_INFINITY;
        for (RunningCheck check : checks.values()) {
            nextMs = Math.min(nextMs, Math.max(nowMs, check.overdueAtMs));
        }
        return nextMs;
    }
}
