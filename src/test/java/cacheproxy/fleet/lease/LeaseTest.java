package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** A voter, a candidate and small fleets, with messages that the test delivers itself. */
class LeaseTest {
    private static final LeaseTiming TIMING = new LeaseTiming(1000, 0.01);
    private static final long LEASE_ID = NameHash.of("d");
    private static final long INCARNATION = 77;
    private final LeaseVoter voter = new LeaseVoter(TIMING, 0);

    /** Returns the voter's reply; null if it is silent. */
    private LeaseMessage respond(double nowMs, long from, LeaseMessage message) {
        return voter.respond(nowMs, from, message).orElse(null);
    }

    private LeaseMessage claim(double nowMs, String from, long epoch) {
        return respond(nowMs, NameHash.of(from), new LeaseMessage(Kind.CLAIM, LEASE_ID, 7, epoch, INCARNATION, 1000));
    }

    @Test
    void voterIsSilentUntilEarlierGrantsHaveExpired() {
        assertThat(claim(1009, "a", 5)).isNull();
        assertThat(claim(1010, "a", 5).kind()).isEqualTo(Kind.GRANT);
    }

    @Test
    void rejectsClaimWhileAnotherHolderIsGranted() {
        assertThat(claim(2000, "a", 5).kind()).isEqualTo(Kind.GRANT);
        LeaseMessage rejection = claim(3009, "b", 6);
        assertThat(rejection.kind()).isEqualTo(Kind.REJECT);
        assertThat(rejection.holder()).isEqualTo(NameHash.of("a"));
        assertThat(rejection.durationMs()).isEqualTo(1);
        assertThat(claim(3010, "b", 5).kind()).as("an epoch of another holder").isEqualTo(Kind.REJECT);
        assertThat(claim(3010, "b", 6).kind()).isEqualTo(Kind.GRANT);
        assertThat(claim(3100, "a", 5).kind()).as("a renewal of an older epoch").isEqualTo(Kind.REJECT);
        respond(3100, NameHash.of("a"), new LeaseMessage(Kind.RELEASE, LEASE_ID, 0, 6, INCARNATION, 0));
        assertThat(claim(3101, "a", 9).kind())
                .as("released by a peer that does not hold it")
                .isEqualTo(Kind.REJECT);
        respond(3102, NameHash.of("b"), new LeaseMessage(Kind.RELEASE, LEASE_ID, 0, 5, INCARNATION, 0));
        assertThat(claim(3103, "a", 9).kind()).as("release of an older epoch").isEqualTo(Kind.REJECT);
        respond(3104, NameHash.of("b"), new LeaseMessage(Kind.RELEASE, LEASE_ID, 0, 6, INCARNATION, 0));
        assertThat(claim(3105, "a", 9).kind()).isEqualTo(Kind.GRANT);
    }

    @Test
    void treatsAnotherIncarnationAsAnotherHolder() {
        assertThat(claim(2000, "a", 5).kind()).isEqualTo(Kind.GRANT);
        LeaseMessage otherIncarnation = new LeaseMessage(Kind.CLAIM, LEASE_ID, 7, 6, INCARNATION + 1, 1000);
        assertThat(respond(2001, NameHash.of("a"), otherIncarnation).kind()).isEqualTo(Kind.REJECT);
        assertThat(respond(2001, NameHash.of("a"), new LeaseMessage(Kind.QUERY, LEASE_ID, 7, 0, INCARNATION + 1, 0))
                        .holder())
                .isEqualTo(NameHash.of("a"));
        assertThat(respond(2001, NameHash.of("a"), new LeaseMessage(Kind.QUERY, LEASE_ID, 7, 0, INCARNATION, 0))
                        .holder())
                .isEqualTo(NameHash.NO_ID);
        assertThat(respond(3010, NameHash.of("a"), otherIncarnation).kind()).isEqualTo(Kind.GRANT);
        assertThat(claim(3011, "a", 6).kind())
                .as("a renewal by the former incarnation")
                .isEqualTo(Kind.REJECT);
    }

    @Test
    void ignoresClaimOfTooLongALeaseOrOfOneLeaseTooMany() {
        assertThat(respond(2000, 1, new LeaseMessage(Kind.CLAIM, LEASE_ID, 7, 1, 0, 1001)))
                .isNull();
        assertThat(respond(2000, 1, new LeaseMessage(Kind.CLAIM, LEASE_ID, 7, 1, 0, 0)))
                .isNull();
        for (int i = 0; i < LeaseVoter.MAX_LEASES; i++) {
            assertThat(respond(2000, 1, new LeaseMessage(Kind.CLAIM, i + 10, 7, 1, 0, 1000)))
                    .isNotNull();
        }
        assertThat(respond(2000, 1, new LeaseMessage(Kind.CLAIM, 5, 7, 1, 0, 1000)))
                .isNull();
        assertThat(respond(2000, 1, new LeaseMessage(Kind.CLAIM, 11, 7, 1, 0, 1000))
                        .kind())
                .as("a lease that the voter knows already")
                .isEqualTo(Kind.GRANT);
        assertThat(voter.size()).isEqualTo(LeaseVoter.MAX_LEASES);
    }

    @Test
    void decodesWhatItEncodesAndDropsCorruptedMessages() {
        LeaseMessage message = new LeaseMessage(Kind.REJECT, 1, -2, 3, -4, 5);
        assertThat(LeaseMessage.decode(message.encode())).isEqualTo(message);
        assertThat(message.encode()).hasSize(LeaseMessage.LENGTH_BYTES);
        assertThat(LeaseMessage.decode(new LeaseMessage(Kind.CLAIM, 1, 2, LeaseMessage.MAX_EPOCH + 1, 4, 5).encode()))
                .isNull();
        SplittableRandom random = new SplittableRandom(3);
        LeaseManager manager = new LeaseManager("p1", TIMING, random.split(), 0, new IgnoringListener());
        manager.campaign("d", 1000, new VoterSet("d", List.of("p1", "p2", "p3"), List.of(), 3), 0);
        int decodedCount = 0;
        for (int i = 0; i < 300_000; i++) {
            byte[] corrupted = message.encode();
            for (int changes = random.nextInt(1, 8); changes > 0; changes--) {
                corrupted[random.nextInt(3) == 0 ? 0 : random.nextInt(corrupted.length)] = (byte) random.nextInt(256);
            }
            LeaseMessage decoded = LeaseMessage.decode(
                    random.nextInt(10) == 0 ? java.util.Arrays.copyOf(corrupted, random.nextInt(60)) : corrupted);
            if (decoded != null) {
                decodedCount++;
                manager.receive(2000 + i / 1000.0, random.nextInt(4), decoded, 1);
                assertThat(manager.permit("d", 2000 + i / 1000.0, 0)).isEqualTo(-1);
            }
        }
        assertThat(decodedCount).isBetween(10_000, 299_000);
    }

    @Test
    void spreadsVotersAndCandidatesAndNeedsBothMajoritiesDuringAChange() {
        List<String> peers = new ArrayList<>();
        for (int i = 1; i <= 100; i++) {
            peers.add("p" + i);
        }
        Map<Long, Integer> votes = new HashMap<>();
        Map<Long, Integer> first = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            VoterSet voterSet = new VoterSet("duty" + i, peers, List.of(), 5);
            assertThat(voterSet.voters()).hasSize(5);
            voterSet.voters().forEach(voter -> votes.merge(voter, 1, Integer::sum));
            first.merge(voterSet.candidateOrder().get(0), 1, Integer::sum);
        }
        assertThat(votes.values()).allMatch(count -> count < 30);
        assertThat(first.values()).allMatch(count -> count < 10);
        VoterSet old = new VoterSet("d", peers.subList(0, 5), List.of(), 5);
        VoterSet both = new VoterSet("d", peers.subList(2, 7), peers.subList(0, 5), 5);
        VoterSet next = new VoterSet("d", peers.subList(2, 7), List.of(), 5);
        Set<Long> firstThree = ids("p1", "p2", "p3");
        Set<Long> lastThree = ids("p5", "p6", "p7");
        assertThat(old.isMajority(firstThree)).isTrue();
        assertThat(next.isMajority(lastThree))
                .as("disjoint, so these two lists must not be in use at once")
                .isTrue();
        assertThat(both.isMajority(firstThree)).isFalse();
        assertThat(both.isMajority(lastThree)).isFalse();
        assertThat(both.isMajority(ids("p3", "p4", "p5"))).isTrue();
        assertThat(both.isBlocking(ids("p1", "p2", "p3"))).isTrue();
    }

    private static Set<Long> ids(String... names) {
        Set<Long> ids = new HashSet<>();
        for (String name : names) {
            ids.add(NameHash.of(name));
        }
        return ids;
    }

    private static class IgnoringListener implements LeaseListener {
        @Override
        public void send(long to, LeaseMessage message) {}

        @Override
        public void gained(String lease, long epoch) {}

        @Override
        public void lost(String lease, long epoch, String reason) {}
    }

    /** Creates a fleet of processes that have just started, whose messages take 1 ms. */
    private static SimulatedLeaseFleet fleet(int count) {
        SimulatedLeaseFleet fleet = new SimulatedLeaseFleet(TIMING, 1000, count, List.of("d"));
        fleet.network = (from, to, bytes) -> fleet.datagrams.add(
                new SimulatedLeaseFleet.Datagram(fleet.nowMs + 1, fleet.datagramCount++, from, to, bytes));
        fleet.processes.forEach(process -> process.start(new SplittableRandom(process.index)));
        return fleet;
    }

    private static SimulatedLeaseFleet.SimulatedProcess holder(SimulatedLeaseFleet fleet) {
        return fleet.processes.stream()
                .filter(process -> process.isHolding("d"))
                .findFirst()
                .orElse(null);
    }

    @Test
    void transfersLeaseOnlyAfterItsActionsHaveEnded() {
        SimulatedLeaseFleet fleet = fleet(5);
        fleet.run(3000);
        SimulatedLeaseFleet.SimulatedProcess holder = holder(fleet);
        SimulatedLeaseFleet.SimulatedProcess successor = fleet.processes.get((holder.index + 1) % 5);
        long epoch = holder.manager.permit("d", holder.localMs(), 30);
        assertThat(epoch).isPositive();
        assertThat(holder.manager.transfer("d", NameHash.of(successor.name), holder.localMs(), "SIGTERM"))
                .isTrue();
        assertThat(holder.manager.permit("d", holder.localMs(), 0))
                .as("no further action")
                .isEqualTo(-1);
        fleet.run(25);
        assertThat(holder(fleet)).as("the permitted action is still running").isNull();
        fleet.run(75);
        assertThat(holder(fleet)).isSameAs(successor);
        assertThat(successor.manager.permit("d", successor.localMs(), 0)).isGreaterThan(epoch);
        assertThat(fleet.violations()).isEmpty();
        assertThat(fleet.lossesByReason).containsEntry("SIGTERM", 1);
        assertThat(successor.manager.transfer("d", NameHash.NO_ID, successor.localMs(), "x"))
                .isTrue();
        assertThat(holder.manager.transfer("d", NameHash.NO_ID, holder.localMs(), "x"))
                .as("not held")
                .isFalse();
    }

    /** Guards against a transfer that the successor ignores because it awaits replies to its own query. */
    @Test
    void transferToPeerThatAwaitsRepliesIsAccepted() {
        SimulatedLeaseFleet fleet = fleet(3);
        fleet.run(3000);
        SimulatedLeaseFleet.SimulatedProcess holder = holder(fleet);
        SimulatedLeaseFleet.SimulatedProcess successor = fleet.processes.get((holder.index + 1) % 3);
        SimulatedLeaseFleet.Network connected = fleet.network;
        fleet.network = (from, to, bytes) -> {
            if (to == successor.index && LeaseMessage.decode(bytes).kind() == LeaseMessage.Kind.TRANSFER) {
                fleet.network = connected; // until then no reply reaches the successor
            }
            if (to != successor.index || fleet.network == connected) {
                connected.send(from, to, bytes);
            }
        };
        while (!successor.manager.fingerprint(successor.localMs()).contains("QUERYING")) {
            fleet.run(1);
        }
        assertThat(holder.manager.transfer("d", NameHash.of(successor.name), holder.localMs(), "x"))
                .isTrue();
        fleet.run(120);
        assertThat(successor.isHolding("d"))
                .as("within the time that a transfer takes")
                .isTrue();
        fleet.run(3000);
        assertThat(holder(fleet))
                .as("one of the three processes holds the lease")
                .isNotNull();
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void ineligibleHolderReleasesAndPartitionedHolderExpiresBeforeTakeover() {
        SimulatedLeaseFleet fleet = fleet(5);
        fleet.run(3000);
        SimulatedLeaseFleet.SimulatedProcess first = holder(fleet);
        first.manager.setEligible(false, "its loop is late", first.localMs());
        fleet.run(1500);
        SimulatedLeaseFleet.SimulatedProcess second = holder(fleet);
        assertThat(second).isNotNull().isNotSameAs(first);
        SimulatedLeaseFleet.Network connected = fleet.network;
        fleet.network = (from, to, bytes) -> {
            if (from != second.index) { // it receives messages, but its own are lost
                connected.send(from, to, bytes);
            }
        };
        fleet.run(2500);
        assertThat(holder(fleet)).isNotNull().isNotSameAs(first).isNotSameAs(second);
        assertThat(fleet.lossesByReason).containsKey("no majority renewed it in time");
        assertThat(fleet.violations()).isEmpty();
    }

    @Test
    void deniesActionThatOutlastsTheLeaseAndRejectsOlderEpochs() {
        SimulatedLeaseFleet fleet = fleet(3);
        fleet.run(3000);
        SimulatedLeaseFleet.SimulatedProcess first = holder(fleet);
        long epoch = first.manager.permit("d", first.localMs(), 100);
        assertThat(first.manager.permit("d", first.localMs(), 1000)).isEqualTo(-1);
        first.paused = true; // until after the end of its lease
        fleet.run(3000);
        SimulatedLeaseFleet.SimulatedProcess second = holder(fleet);
        assertThat(second).isNotNull().isNotSameAs(first);
        assertThat(first.manager.permit("d", first.localMs(), 0))
                .as("right after the pause, before any tick")
                .isEqualTo(-1);
        FencingTokenCheck fencing = new FencingTokenCheck();
        assertThat(fencing.accepts(LEASE_ID, epoch)).isTrue();
        assertThat(fencing.accepts(LEASE_ID, second.manager.permit("d", second.localMs(), 0)))
                .isTrue();
        assertThat(fencing.accepts(LEASE_ID, epoch)).isFalse();
        for (int i = 0; i < FencingTokenCheck.MAX_LEASES; i++) {
            fencing.accepts(i + 1, 1);
        }
        assertThat(fencing.accepts(999_999, 1)).isFalse();
    }

    /** Guards against a lease that is rejected permanently, with a misleading error, after one invalid duration. */
    @Test
    void rejectedDurationDoesNotReserveLeaseName() {
        LeaseManager manager = new LeaseManager("p1", TIMING, new SplittableRandom(1), 0, new IgnoringListener());
        VoterSet voterSet = new VoterSet("d", List.of("p1", "p2", "p3"), List.of(), 3);
        assertThatThrownBy(() -> manager.campaign("d", 0, voterSet, 0)).hasMessageContaining("lease 0");
        manager.campaign("d", 1000, voterSet, 0);
        assertThat(manager.statuses(0)).hasSize(1);
    }

    @Test
    void rejectsInvalidArguments() {
        LeaseManager manager = new LeaseManager("p1", TIMING, new SplittableRandom(1), 0, new IgnoringListener());
        VoterSet voterSet = new VoterSet("d", List.of("p1"), List.of(), 5);
        assertThatThrownBy(() -> manager.campaign("d", 1001, voterSet, 0)).hasMessageContaining("lease 1001");
        assertThatThrownBy(() -> new LeaseTiming(0, 0.01)).isInstanceOf(IllegalArgumentException.class);
        assertThatThrownBy(() -> new VoterSet("d", List.of(), List.of(), 5))
                .isInstanceOf(IllegalArgumentException.class);
        for (int i = 0; i < LeaseManager.MAX_LEASES; i++) {
            manager.campaign("x" + i, 100, voterSet, 0);
        }
        assertThatThrownBy(() -> manager.campaign("one more", 100, voterSet, 0))
                .hasMessageContaining("more than " + LeaseManager.MAX_LEASES);
    }

    /** Records the messages of a manager, and replies for two voters that grant everything. */
    private static final class GrantingVoters implements LeaseListener {
        final List<LeaseMessage> messages = new ArrayList<>();
        final List<String> gained = new ArrayList<>();

        @Override
        public void send(long to, LeaseMessage message) {
            messages.add(message);
        }

        @Override
        public void gained(String lease, long epoch) {
            gained.add(lease);
        }

        @Override
        public void lost(String lease, long epoch, String reason) {}

        /** Replies to all requests since the last call. */
        void reply(LeaseManager manager, double nowMs) {
            List<LeaseMessage> requests = List.copyOf(messages);
            messages.clear();
            for (LeaseMessage message : requests) {
                Kind kind = message.kind() == Kind.QUERY ? Kind.STATUS : Kind.GRANT;
                if (message.kind() == Kind.QUERY || message.kind() == Kind.CLAIM) {
                    manager.receive(
                            nowMs,
                            NameHash.of("p2"),
                            new LeaseMessage(
                                    kind, message.leaseId(), message.nonce(), message.epoch(), NameHash.NO_ID, 0),
                            1);
                    manager.receive(
                            nowMs,
                            NameHash.of("p3"),
                            new LeaseMessage(
                                    kind, message.leaseId(), message.nonce(), message.epoch(), NameHash.NO_ID, 0),
                            1);
                }
            }
        }
    }

    private static final VoterSet THREE_VOTERS = new VoterSet("d", List.of("p1", "p2", "p3"), List.of(), 3);

    @Test
    void ineligibleCandidateAbandonsItsClaimAndStaysIneligibleAcrossReload() {
        GrantingVoters granting = new GrantingVoters();
        LeaseManager manager = new LeaseManager("p1", TIMING, new SplittableRandom(1), 0, granting);
        manager.campaign("d", 1000, THREE_VOTERS, 0);
        manager.tick(500, 1);
        granting.reply(manager, 501); // replies to the query; now the claim is open
        assertThat(granting.messages).anyMatch(message -> message.kind() == Kind.CLAIM);
        manager.setEligible(false, "it ends", 502);
        List<LeaseMessage> sent = List.copyOf(granting.messages);
        assertThat(sent).as("released").anyMatch(message -> message.kind() == Kind.RELEASE);
        granting.reply(manager, 503);
        assertThat(granting.gained).isEmpty();
        manager.campaign("d", 1000, THREE_VOTERS, 504); // a reload
        manager.campaign("new", 1000, THREE_VOTERS, 504);
        for (double nowMs = 510; nowMs < 5000; nowMs += 10) {
            manager.tick(nowMs, 1);
            granting.reply(manager, nowMs);
        }
        assertThat(granting.gained).isEmpty();
        manager.setEligible(true, "", 5000);
        for (double nowMs = 5000; nowMs < 8000; nowMs += 10) {
            manager.tick(nowMs, 1);
            granting.reply(manager, nowMs);
        }
        assertThat(granting.gained).contains("d", "new");
    }

    @Test
    void holderCountsNoLongerLeaseThanItClaimed() {
        GrantingVoters granting = new GrantingVoters();
        LeaseManager manager = new LeaseManager("p1", TIMING, new SplittableRandom(1), 0, granting);
        manager.campaign("d", 100.9, THREE_VOTERS, 0);
        manager.tick(500, 1);
        granting.reply(manager, 500);
        int claimedMs = granting.messages.stream()
                .filter(message -> message.kind() == Kind.CLAIM)
                .findFirst()
                .orElseThrow()
                .durationMs();
        granting.reply(manager, 500);
        double voterLeaseMs = TIMING.voterLeaseMs(claimedMs) / (1 + TIMING.maxDrift()); // in true time, at least
        assertThat(manager.permit("d", 500, 0)).isPositive();
        assertThat(manager.permit("d", 500 + voterLeaseMs * (1 - TIMING.maxDrift()), 0))
                .as("a voter with a slow clock may have granted it to another")
                .isEqualTo(-1);
        // A new duration applies to the next claim, not to the open one.
        manager.campaign("d", 1000, THREE_VOTERS, 501);
        assertThat(manager.permit("d", 500 + voterLeaseMs, 0)).isEqualTo(-1);
        manager.tick(540, 1);
        assertThat(granting.messages)
                .filteredOn(message -> message.kind() == Kind.CLAIM)
                .allMatch(message -> message.durationMs() == 1000)
                .isNotEmpty();
        granting.reply(manager, 541);
        assertThat(manager.permit("d", 1400, 0)).isPositive();
    }

    @Test
    void withdrawnLeasesAreForgotten() {
        GrantingVoters granting = new GrantingVoters();
        LeaseManager manager = new LeaseManager("p1", TIMING, new SplittableRandom(1), 0, granting);
        for (int i = 0; i < 3 * LeaseManager.MAX_LEASES; i++) {
            manager.campaign("x" + i, 100, THREE_VOTERS, i);
            manager.withdraw("x" + i, i);
            manager.tick(i, 1);
        }
        assertThat(manager.statuses(9999)).isEmpty();
    }
}
