package cacheproxy.fleet.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Failure detection in virtual time, with links that lose messages and processes that stall, crash and restart. */
class SwimMembershipTest {
    // The bytes are private to this test and never changed.
    @SuppressWarnings("ArrayRecordComponent")
    private record Datagram(double atMs, long number, int from, int to, byte[] bytes) {}

    private static final class SimulatedFleet {
        final List<SwimMembership> members = new ArrayList<>();
        final PriorityQueue<Datagram> inFlight = new PriorityQueue<>((first, second) -> first.atMs != second.atMs
                ? Double.compare(first.atMs, second.atMs)
                : Long.compare(first.number, second.number));
        final SplittableRandom random;
        final List<Long> ids = new ArrayList<>();
        final double[] dueMs;
        final Set<Integer> crashed = new HashSet<>();
        final Set<Integer> stalled = new HashSet<>();
        final Set<Integer> partitioned = new HashSet<>();
        double lossProbability;
        double nowMs;
        long sent;

        SimulatedFleet(int count, long seed) {
            random = new SplittableRandom(seed);
            dueMs = new double[count];
            for (int i = 0; i < count; i++) {
                ids.add(i + 1L);
            }
            for (int i = 0; i < count; i++) {
                members.add(null);
                start(i);
            }
        }

        void start(int index) {
            crashed.remove(index);
            SwimMembership membership = new SwimMembership(
                    index + 1,
                    SwimTiming.DEFAULT,
                    random.split(),
                    nowMs,
                    (to, message) -> send(index, (int) to - 1, message));
            membership.updateMembers(ids, nowMs);
            members.set(index, membership);
            dueMs[index] = nowMs;
        }

        void send(int from, int to, SwimMessage message) {
            sent++;
            assertThat(message.encode().length).isLessThanOrEqualTo(213);
            if (!crashed.contains(from)
                    && random.nextDouble() >= lossProbability
                    && !partitioned.contains(from)
                    && !partitioned.contains(to)) {
                inFlight.add(new Datagram(nowMs + 0.2 + 2 * random.nextDouble(), sent, from, to, message.encode()));
            }
        }

        void runUntil(double ms) {
            while (nowMs < ms) {
                nowMs += 5;
                while (!inFlight.isEmpty() && inFlight.peek().atMs <= nowMs) {
                    Datagram datagram = inFlight.poll();
                    if (stalled.contains(datagram.to)) {
                        inFlight.add(new Datagram(
                                nowMs + 5,
                                datagram.number,
                                datagram.from,
                                datagram.to,
                                datagram.bytes)); // the datagram stays in the socket buffer
                    } else if (!crashed.contains(datagram.to)) {
                        members.get(datagram.to).receive(nowMs, datagram.from + 1, SwimMessage.decode(datagram.bytes));
                    }
                }
                for (int i = 0; i < dueMs.length; i++) {
                    if (nowMs >= dueMs[i] && !crashed.contains(i) && !stalled.contains(i)) {
                        dueMs[i] = members.get(i).tick(nowMs);
                    }
                }
            }
        }

        long countReporting(int index, MemberStatus status) {
            return ids.stream()
                    .filter(i -> i != index + 1
                            && !crashed.contains(i.intValue() - 1)
                            && !stalled.contains(i.intValue() - 1))
                    .filter(i -> members.get(i.intValue() - 1).statusOf(index + 1) == status)
                    .count();
        }
    }

    @Test
    void healthyFleetSuspectsNobodyAndPingsOncePerPeriod() {
        SimulatedFleet simulation = new SimulatedFleet(50, 1);
        simulation.runUntil(60_000);
        for (int i = 0; i < 50; i++) {
            assertThat(simulation.countReporting(i, MemberStatus.ALIVE)).isEqualTo(49);
        }
        assertThat(simulation.sent / 60.0 / 50)
                .as("messages per second and member")
                .isLessThan(4.5);
    }

    @Test
    void allMembersDetectDeathAndReturn() {
        for (int count : new int[] {2, 3, 8, 60}) {
            SimulatedFleet simulation = new SimulatedFleet(count, count);
            simulation.runUntil(5000);
            simulation.crashed.add(0);
            // With few members a process also lowers its own health, and then waits up to eight times as long.
            double longest = count < 4 ? 90_000 : 40_000;
            simulation.runUntil(5000 + longest);
            assertThat(simulation.countReporting(0, MemberStatus.DEAD))
                    .as("fleet of " + count)
                    .isEqualTo(count - 1);
            simulation.start(0);
            simulation.runUntil(5000 + 2 * longest);
            assertThat(simulation.countReporting(0, MemberStatus.ALIVE))
                    .as("fleet of " + count)
                    .isEqualTo(count - 1);
        }
    }

    @Test
    void wronglySuspectedMemberRefutes() {
        SimulatedFleet simulation = new SimulatedFleet(8, 4);
        simulation.runUntil(3000);
        simulation
                .members
                .get(1)
                .receive(
                        simulation.nowMs,
                        3,
                        new SwimMessage(
                                SwimMessageKind.NACK, 0, 0, List.of(new MemberUpdate(1, MemberStatus.SUSPECT, 0))));
        assertThat(simulation.members.get(1).statusOf(1)).isEqualTo(MemberStatus.SUSPECT);
        simulation.runUntil(12_000);
        assertThat(simulation.countReporting(0, MemberStatus.ALIVE)).isEqualTo(7);
        assertThat(simulation.countReporting(0, MemberStatus.DEAD)).isZero();
    }

    /** The others declare a stalled process dead; it suspects no others when it continues. */
    @Test
    void stalledProcessLowersItsOwnHealthBeforeAccusingOthers() {
        SimulatedFleet simulation = new SimulatedFleet(12, 9);
        simulation.runUntil(4000);
        simulation.stalled.add(3);
        simulation.runUntil(44_000);
        assertThat(simulation.countReporting(3, MemberStatus.DEAD)).isEqualTo(11);
        simulation.stalled.remove(3);
        simulation.runUntil(44_100);
        assertThat(simulation.members.get(3).localHealthScore()).isPositive();
        simulation.runUntil(80_000);
        for (int i = 0; i < 12; i++) {
            assertThat(simulation.countReporting(i, MemberStatus.ALIVE))
                    .as("members that report ALIVE for member " + i)
                    .isEqualTo(11);
        }
    }

    @Test
    void packetLossCausesFewFalseDeathsAndAllRecover() {
        SimulatedFleet simulation = new SimulatedFleet(30, 2);
        simulation.lossProbability = 0.3;
        int wrong = 0;
        for (double untilMs = 2000; untilMs < 60_000; untilMs += 2000) {
            simulation.runUntil(untilMs);
            for (int i = 0; i < 30; i++) {
                wrong += (int) simulation.countReporting(i, MemberStatus.DEAD);
            }
        }
        assertThat(wrong / (29.0 * 30 * 29)).as("fraction of all observations").isLessThan(0.04);
        simulation.lossProbability = 0;
        simulation.runUntil(90_000);
        for (int i = 0; i < 30; i++) {
            assertThat(simulation.countReporting(i, MemberStatus.ALIVE)).isEqualTo(29);
        }
    }

    @Test
    void partitionedMemberIsDeadToOthersUntilPartitionHeals() {
        SimulatedFleet simulation = new SimulatedFleet(10, 7);
        simulation.runUntil(2000);
        simulation.partitioned.add(5);
        simulation.runUntil(50_000);
        assertThat(simulation.countReporting(5, MemberStatus.DEAD)).isEqualTo(9);
        simulation.partitioned.clear();
        simulation.runUntil(90_000);
        for (int i = 0; i < 10; i++) {
            assertThat(simulation.countReporting(i, MemberStatus.ALIVE))
                    .as("members that report ALIVE for member " + i)
                    .isEqualTo(9);
        }
    }

    @Test
    void rejectsTruncatedMessagesAndBoundsRelayedPings() {
        List<MemberUpdate> updates = new ArrayList<>();
        for (int i = 0; i < SwimMessage.MAX_UPDATES; i++) {
            updates.add(new MemberUpdate(i, MemberStatus.fromWireCode((byte) (i % 3)), i));
        }
        SwimMessage message = new SwimMessage(SwimMessageKind.PING_REQUEST, 5, 6, updates);
        byte[] bytes = message.encode();
        assertThat(SwimMessage.decode(bytes)).isEqualTo(message);
        for (int cut = 0; cut < bytes.length; cut++) {
            assertThat(SwimMessage.decode(Arrays.copyOf(bytes, cut))).isNull();
        }
        SimulatedFleet simulation = new SimulatedFleet(4, 1);
        SplittableRandom random = new SplittableRandom(3);
        long before = simulation.sent;
        for (int i = 0; i < 10_000; i++) {
            simulation
                    .members
                    .get(0)
                    .receive(0, 2, new SwimMessage(SwimMessageKind.PING_REQUEST, random.nextLong(), 3, List.of()));
            byte[] corrupted = bytes.clone();
            corrupted[random.nextInt(corrupted.length)] ^= (byte) (1 + random.nextInt(255));
            SwimMessage decoded = SwimMessage.decode(corrupted);
            if (decoded != null) {
                simulation.members.get(0).receive(0, 2, decoded);
            }
        }
        assertThat(simulation.sent - before)
                .as("pings for others")
                .isLessThanOrEqualTo(RelayedPings.MAX_PENDING + 10_000);
        assertThat(simulation.members.get(0).statusOf(99)).isEqualTo(MemberStatus.DEAD);
        assertThat(simulation.members.get(0).localHealthScore()).isBetween(0, LocalHealth.MAX_SCORE);
    }
}
