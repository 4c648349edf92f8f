package cacheproxy.fleet.healthcheck;

import static cacheproxy.fleet.healthcheck.HealthCheckMessageKind.REQUEST;
import static cacheproxy.fleet.healthcheck.HealthCheckMessageKind.RESULT;
import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Shared health checks in virtual time, with real coordinators and simulated messages between them. */
class HealthCheckCoordinatorTest {
    private static final HealthCheckTiming TIMING = new HealthCheckTiming(250, 600, 1000);
    private static final int SHARES = 3;

    private record Datagram(double atMs, long number, int from, int to, HealthCheckMessage message) {}

    private record Report(double atMs, int coordinator, int server, boolean healthy) {}

    /** Simulates coordinators, the holder of each share, failing and unreachable servers, and the loss of messages. */
    private static final class SimulatedFleet {
        final List<HealthCheckCoordinator> coordinators = new ArrayList<>();
        final PriorityQueue<Datagram> inFlight = new PriorityQueue<>((first, second) -> first.atMs != second.atMs
                ? Double.compare(first.atMs, second.atMs)
                : Long.compare(first.number, second.number));
        final PriorityQueue<double[]> completions =
                new PriorityQueue<>((first, second) -> Double.compare(first[0], second[0]));
        final int[] holder = new int[SHARES];
        final long[] epoch = new long[SHARES];
        /** The holder that a coordinator assumes for all shares, if that differs from the real holder. */
        final Map<Integer, Integer> believedHolder = new HashMap<>();

        final Set<Integer> unhealthy = new HashSet<>();
        final Set<String> partitioned = new HashSet<>();
        final List<Report> reports = new ArrayList<>();
        final SplittableRandom random;
        double lossProbability;
        double maxDelayMs = 5;
        double nowMs;
        long nextNumber;
        int checks;

        SimulatedFleet(int count, long seed) {
            random = new SplittableRandom(seed);
            for (int i = 0; i < SHARES; i++) {
                epoch[i] = 1;
            }
            for (int i = 0; i < count; i++) {
                int index = i;
                List<LeaseHandle> shares = new ArrayList<>();
                for (int share = 0; share < SHARES; share++) {
                    shares.add(handle(index, share));
                }
                coordinators.add(new HealthCheckCoordinator(
                        index + 1, index * 1000L, TIMING, shares, new SimulatedActions(index)));
            }
        }

        private final class SimulatedActions implements HealthCheckActions {
            private final int index;

            SimulatedActions(int index) {
                this.index = index;
            }

            @Override
            public void send(long to, HealthCheckMessage message) {
                if (random.nextDouble() >= lossProbability) {
                    for (int copies = random.nextInt(10) == 0 ? 2 : 1; copies > 0; copies--) {
                        inFlight.add(new Datagram(
                                nowMs + 0.1 + random.nextDouble() * maxDelayMs,
                                nextNumber++,
                                index,
                                (int) to - 1,
                                HealthCheckMessage.decode(message.encode())));
                    }
                }
            }

            @Override
            public boolean startCheck(int server) {
                checks++;
                boolean failing = unhealthy.contains(server) || partitioned.contains(index + "/" + server);
                completions.add(new double[] {nowMs + (failing ? 250 : 2), index, server, failing ? 0 : 1});
                return true;
            }

            @Override
            public void reportResult(int server, boolean healthy) {
                reports.add(new Report(nowMs, index, server, healthy));
            }
        }

        LeaseHandle handle(int index, int share) {
            return new LeaseHandle() {
                @Override
                public long permit(double atMs, double actMs) {
                    return holder[share] == index ? epoch[share] : -1;
                }

                @Override
                public double remainingMs(double atMs) {
                    return holder[share] == index ? 1000 : 0;
                }

                @Override
                public long holder(double atMs) {
                    return believedHolder.getOrDefault(index, holder[share]) + 1L;
                }

                @Override
                public List<Long> candidateOrder() {
                    return List.of(1L, 2L, 3L);
                }

                @Override
                public long id() {
                    return NameHash.of("probe." + share);
                }
            };
        }

        void runUntil(double ms) {
            while (true) {
                double nextMs = ms;
                for (HealthCheckCoordinator coordinator : coordinators) {
                    nextMs = Math.min(nextMs, coordinator.tick(nowMs));
                }
                double nextDatagramMs = inFlight.isEmpty() ? Double.POSITIVE_INFINITY : inFlight.peek().atMs;
                double nextCompletionMs = completions.isEmpty()
                        ? Double.POSITIVE_INFINITY
                        : completions.peek()[0];
                nowMs = Math.max(nowMs, Math.min(nextMs, Math.min(nextDatagramMs, nextCompletionMs)));
                if (nextDatagramMs <= nowMs && nextDatagramMs <= nextCompletionMs) {
                    Datagram datagram = inFlight.poll();
                    coordinators.get(datagram.to).receive(nowMs, datagram.from + 1, datagram.message);
                } else if (nextCompletionMs <= nowMs) {
                    double[] completion = completions.poll();
                    coordinators.get((int) completion[1]).finished(nowMs, (int) completion[2], completion[3] == 1);
                } else if (nowMs >= ms) {
                    return;
                }
            }
        }

        void requestAll(int server) {
            coordinators.forEach(coordinator -> coordinator.request(nowMs, server));
        }
    }

    @Test
    void hundredRequestsCauseOneCheckReportedToAll() {
        SimulatedFleet simulation = new SimulatedFleet(100, 1);
        simulation.unhealthy.add(7);
        simulation.requestAll(7);
        simulation.runUntil(2000);
        assertThat(simulation.reports).hasSize(100).allMatch(report -> !report.healthy && report.atMs < 600);
        assertThat(simulation.checks).isEqualTo(1);
        simulation.unhealthy.clear();
        simulation.requestAll(7);
        simulation.runUntil(4000);
        assertThat(simulation.reports).hasSize(200);
        assertThat(simulation.reports.subList(100, 200)).allMatch(Report::healthy);
        assertThat(simulation.checks).isEqualTo(2);
        assertThat(simulation
                        .coordinators
                        .get(simulation.holder[HealthCheckCoordinator.shareOf(7, SHARES)])
                        .counts()
                        .ownChecks())
                .isEqualTo(2);
    }

    @Test
    void formerHolderRedirectsToCurrentHolder() {
        SimulatedFleet simulation = new SimulatedFleet(5, 2);
        int share = HealthCheckCoordinator.shareOf(7, SHARES);
        simulation.holder[share] = 4;
        simulation.believedHolder.put(1, 2); // coordinator 2 knows the holder
        simulation.coordinators.get(1).request(0, 7);
        simulation.runUntil(1000);
        assertThat(simulation.reports).singleElement().matches(report -> report.healthy && report.coordinator == 1);
        assertThat(simulation.coordinators.get(4).counts().checksForOthers()).isEqualTo(1);
        // No coordinator knows the holder: the requesting one makes its own check immediately, not after the result
        // timeout.
        simulation.believedHolder.put(2, -1);
        simulation.believedHolder.put(1, 2);
        simulation.reports.clear();
        simulation.coordinators.get(1).request(200_000, 8);
        simulation.runUntil(1100);
        assertThat(simulation.reports).hasSize(1);
    }

    @Test
    void checksItselfAfterResultTimeoutWithoutHolder() {
        SimulatedFleet simulation = new SimulatedFleet(4, 3);
        simulation.lossProbability = 1;
        simulation.requestAll(7);
        simulation.runUntil(1000);
        assertThat(simulation.reports).hasSize(4).allMatch(Report::healthy);
        assertThat(simulation.reports.stream().filter(report -> report.atMs > 590))
                .hasSize(3);
        assertThat(simulation.checks).isEqualTo(4);
    }

    /**
     * A holder that cannot reach a healthy server makes other proxies consider it failed for no more than three
     * results.
     */
    @Test
    void checksItselfWhenReportedResultsContradictItsOwnView() {
        SimulatedFleet simulation = new SimulatedFleet(3, 4);
        int share = HealthCheckCoordinator.shareOf(7, SHARES);
        simulation.holder[share] = 2;
        simulation.partitioned.add("2/7");
        List<Boolean> reportedHealth = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            simulation.reports.clear();
            simulation.coordinators.get(0).request(simulation.nowMs, 7);
            simulation.runUntil(simulation.nowMs + 3000);
            reportedHealth.add(simulation.reports.get(0).healthy);
        }
        assertThat(reportedHealth).containsExactly(false, false, false, true);
        // The reverse: the server is reported healthy, but a new check is requested immediately because this proxy
        // cannot reach it.
        simulation.partitioned.clear();
        simulation.partitioned.add("0/7");
        reportedHealth.clear();
        for (int i = 0; i < 2; i++) {
            simulation.reports.clear();
            simulation.coordinators.get(0).request(simulation.nowMs, 7);
            simulation.runUntil(simulation.nowMs + 3000);
            reportedHealth.add(simulation.reports.get(0).healthy);
        }
        assertThat(reportedHealth).containsExactly(true, false);
    }

    @Test
    void rejectsResultsOfOlderEpochsAndLateResults() {
        SimulatedFleet simulation = new SimulatedFleet(3, 5);
        int share = HealthCheckCoordinator.shareOf(7, SHARES);
        simulation.holder[share] = 2;
        simulation.epoch[share] = 9;
        simulation.coordinators.get(0).request(0, 7);
        simulation.runUntil(100);
        assertThat(simulation.reports).hasSize(1);
        int otherServer = 0;
        while (HealthCheckCoordinator.shareOf(otherServer, SHARES) != share || otherServer == 7) {
            otherServer++;
        }
        simulation.reports.clear();
        simulation.coordinators.get(0).request(simulation.nowMs, otherServer);
        Datagram request = simulation.inFlight.peek();
        long leaseId = request.message.leaseId();
        long requestNumber = request.message.requestNumber();
        receiveResult(simulation, new HealthCheckMessage(RESULT, leaseId, otherServer, requestNumber, 8, 0, false, 0));
        receiveResult(
                simulation, new HealthCheckMessage(RESULT, leaseId, otherServer, requestNumber + 1, 9, 0, false, 0));
        receiveResult(
                simulation, new HealthCheckMessage(RESULT, leaseId, otherServer, requestNumber, 9, 0, false, 60_000));
        assertThat(simulation.reports).isEmpty();
        assertThat(simulation.coordinators.get(0).counts().staleEpochResults()).isEqualTo(1);
        assertThat(simulation.coordinators.get(0).counts().lateResults()).isEqualTo(2);
    }

    private static void receiveResult(SimulatedFleet simulation, HealthCheckMessage result) {
        simulation.coordinators.get(0).receive(simulation.nowMs, 2, result);
    }

    /** Guards against a server that waits forever for the result of a check whose pool no longer exists. */
    @Test
    void checkThatNeverFinishesCountsAsFailed() {
        SimulatedFleet simulation = new SimulatedFleet(1, 11);
        simulation.coordinators.get(0).request(0, 7);
        simulation.completions.clear();
        simulation.runUntil(TIMING.checkTimeoutMs());
        assertThat(simulation.reports).isEmpty();
        simulation.runUntil(3 * TIMING.checkTimeoutMs());
        assertThat(simulation.reports).singleElement().matches(report -> !report.healthy);
        simulation.coordinators.get(0).finished(simulation.nowMs, 7, true);
        assertThat(simulation.reports)
                .as("a result after the check has been counted as failed")
                .hasSize(1);
        simulation.coordinators.get(0).request(simulation.nowMs, 7);
        simulation.runUntil(simulation.nowMs + 100);
        assertThat(simulation.reports).hasSize(2).last().matches(report -> report.healthy);
    }

    /** A proxy that lost the lease during the check sends no result. */
    @Test
    void doesNotReportCheckThatOutlastedTheLease() {
        SimulatedFleet simulation = new SimulatedFleet(3, 6);
        int share = HealthCheckCoordinator.shareOf(7, SHARES);
        simulation.holder[share] = 2;
        simulation.unhealthy.add(7);
        simulation.coordinators.get(0).request(0, 7);
        simulation.runUntil(100);
        simulation.holder[share] = 1;
        simulation.runUntil(300);
        assertThat(simulation.reports).isEmpty();
        simulation.runUntil(900);
        assertThat(simulation.reports).singleElement().matches(report -> report.coordinator == 0 && !report.healthy);
    }

    @Test
    void checksItselfWhenShareCountsDiffer() {
        SimulatedFleet simulation = new SimulatedFleet(3, 7);
        simulation.coordinators.get(0).update(TIMING, List.of(simulation.handle(0, 0), simulation.handle(0, 1)));
        for (int i = 0; i < SHARES; i++) {
            simulation.holder[i] = 2;
        }
        for (int server = 0; server < 200; server++) {
            simulation.coordinators.get(0).request(0, server);
        }
        simulation.runUntil(2000);
        assertThat(simulation.reports).hasSize(200);
    }

    @Test
    void checksItselfBeyondMaxPendingRequests() {
        SimulatedFleet simulation = new SimulatedFleet(2, 8);
        simulation.lossProbability = 1;
        for (int i = 0; i < SHARES; i++) {
            simulation.holder[i] = 1;
        }
        for (int server = 0; server < PendingRequests.MAX_PENDING + 10; server++) {
            simulation.coordinators.get(0).request(0, server);
        }
        assertThat(simulation.checks)
                .as("own checks that start immediately, beyond the bound")
                .isEqualTo(10);
        simulation.runUntil(2000);
        assertThat(simulation.reports).hasSize(PendingRequests.MAX_PENDING + 10);
    }

    @Test
    void redirectsRequestsBeyondMaxRunningChecks() {
        SimulatedFleet flooded = new SimulatedFleet(2, 9);
        for (int server = 0; server < 500; server++) {
            flooded.unhealthy.add(server);
            receiveRequest(flooded, server, server);
        }
        assertThat(flooded.checks).isEqualTo(HealthCheckCoordinator.MAX_RUNNING);
        assertThat(flooded.inFlight)
                .hasSizeGreaterThanOrEqualTo(500 - HealthCheckCoordinator.MAX_RUNNING)
                .allMatch(datagram -> datagram.message.kind() == HealthCheckMessageKind.REDIRECT);
    }

    @Test
    void sendsResultToNoMoreThanMaxWaiters() {
        SimulatedFleet crowded = new SimulatedFleet(2, 10);
        crowded.unhealthy.add(7);
        for (int i = 0; i < 2 * RunningChecks.MAX_WAITERS; i++) {
            receiveRequest(crowded, 7, i);
        }
        crowded.completions.poll();
        crowded.coordinators.get(0).finished(250, 7, false);
        assertThat(crowded.inFlight.stream()
                        .map(datagram -> datagram.message.requestNumber())
                        .distinct())
                .hasSize(RunningChecks.MAX_WAITERS);
    }

    private static void receiveRequest(SimulatedFleet simulation, int server, long requestNumber) {
        long leaseId = NameHash.of("probe." + HealthCheckCoordinator.shareOf(server, SHARES));
        simulation
                .coordinators
                .get(0)
                .receive(0, 2, new HealthCheckMessage(REQUEST, leaseId, server, requestNumber, 0, 0, false, 0));
    }

    /**
     * Messages are lost, delayed and duplicated, and holders change: each request must be reported once and in time,
     * with no more than two checks per request.
     */
    @Test
    void reportsEveryRequestOnceInTimeDespiteLoss() {
        for (int seed = 0; seed < 200; seed++) {
            SimulatedFleet simulation = new SimulatedFleet(5, seed);
            SplittableRandom random = new SplittableRandom(seed + 1000);
            simulation.lossProbability = random.nextInt(4) * 0.3;
            simulation.maxDelayMs = random.nextInt(3) == 0 ? 2000 : 5;
            int requests = 0;
            for (int step = 0; step < 60; step++) {
                int server = random.nextInt(6);
                switch (random.nextInt(5)) {
                    case 0 -> {
                        int share = random.nextInt(SHARES);
                        simulation.holder[share] = random.nextInt(6) - 1; // -1: no holder
                        simulation.epoch[share]++;
                    }
                    case 1 -> simulation.believedHolder.put(random.nextInt(5), random.nextInt(6) - 1);
                    case 2 -> {
                        if (!simulation.unhealthy.remove(server)) {
                            simulation.unhealthy.add(server);
                        }
                    }
                    default -> {
                        double startMs = simulation.nowMs;
                        int reportsBefore = simulation.reports.size();
                        simulation.requestAll(server);
                        requests += 5;
                        simulation.runUntil(startMs + TIMING.resultTimeoutMs() + TIMING.checkTimeoutMs() + 1);
                        assertThat(simulation.reports.size() - reportsBefore)
                                .as("seed " + seed + " step " + step)
                                .isEqualTo(5);
                        assertThat(simulation.reports.subList(reportsBefore, reportsBefore + 5).stream()
                                        .map(report -> report.coordinator)
                                        .distinct())
                                .hasSize(5);
                    }
                }
            }
            assertThat(simulation.checks).isLessThanOrEqualTo(2 * requests);
        }
    }

    @Test
    void rejectsMalformedMessagesAndTimings() {
        HealthCheckMessage message = new HealthCheckMessage(RESULT, 1, 2, 3, 4, 5, true, 6);
        assertThat(HealthCheckMessage.decode(message.encode())).isEqualTo(message);
        assertThat(HealthCheckMessage.decode(new byte[HealthCheckMessage.MESSAGE_BYTES - 1]))
                .isNull();
        byte[] malformed = message.encode();
        malformed[0] = 9;
        assertThat(HealthCheckMessage.decode(malformed)).isNull();
        assertThatThrownBy(() -> new HealthCheckTiming(250, 250, 0)).isInstanceOf(IllegalArgumentException.class);
    }
}
