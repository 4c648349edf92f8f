package cacheproxy.fleet.lease;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/**
 * Explores the reachable states of a few voters and candidates breadth first, with the real implementation: messages in
 * flight may be delivered in any order, lost or duplicated; time advances in steps of about a quarter of a lease; one
 * process restarts without its state, and one pauses. A state is represented by the steps that lead to it, which are
 * replayed from the start; states with the same fingerprint are explored once. For larger runs:
 * {@code -Dlease.states=1000000 -Dlease.voters=5 -Dlease.candidates=3}.
 */
class LeaseStatesTest {
    private static final double LEASE_MS = 1000;
    private static final int STATES = Integer.getInteger("lease.states", 25_000);
    private static final int VOTERS = Integer.getInteger("lease.voters", 3);
    private static final int CANDIDATES = Integer.getInteger("lease.candidates", 2);
    private static final int MAX_DATAGRAMS = 8;
    private static final double STEP_MS = 260;

    private enum Action {
        TIME,
        DELIVER,
        LOSE,
        TWICE,
        RESTART,
        PAUSE
    }

    private record Step(Action action, int index) {}

    private record Path(Path previous, Step step, int length) {
        List<Step> steps() {
            ArrayList<Step> steps = new ArrayList<>();
            for (Path path = this; path != null && path.step != null; path = path.previous) {
                steps.add(0, path.step);
            }
            return steps;
        }
    }

    private record Explored(int states, int depth, List<Step> trace, String violation) {}

    /** A fleet whose messages are delivered in any order. */
    private static final class ReplayedState {
        final SimulatedLeaseFleet fleet;
        final List<SimulatedLeaseFleet.Datagram> datagrams = new ArrayList<>();
        int restarts;
        int pauses;
        int losses;
        int copies;

        ReplayedState(LeaseTiming timing, boolean startHeld) {
            fleet = new SimulatedLeaseFleet(timing, LEASE_MS, VOTERS, List.of("d"));
            fleet.voterCount = VOTERS;
            fleet.candidateCount = CANDIDATES;
            fleet.network = (from, to, bytes) ->
                    datagrams.add(new SimulatedLeaseFleet.Datagram(0, datagrams.size(), from, to, bytes));
            fleet.processes.get(0).clockRate = 1 - LeaseTiming.MAX_CLOCK_DRIFT * 0.99;
            fleet.processes.get(1).clockRate = 1 + LeaseTiming.MAX_CLOCK_DRIFT * 0.99;
            fleet.processes.forEach(process -> process.start(new SplittableRandom(process.index)));
            fleet.nowMs = timing.startupSilenceMs() * 1.02 + 1;
            fleet.processes.forEach(SimulatedLeaseFleet.SimulatedProcess::tick);
            while (startHeld && !fleet.isHeld("d")) {
                if (datagrams.isEmpty()) {
                    apply(new Step(Action.TIME, 0));
                } else {
                    apply(new Step(Action.DELIVER, 0));
                }
            }
        }

        void apply(Step step) {
            switch (step.action) {
                case TIME -> {
                    fleet.nowMs += STEP_MS;
                    fleet.processes.forEach(SimulatedLeaseFleet.SimulatedProcess::tick);
                }
                case DELIVER, TWICE -> {
                    SimulatedLeaseFleet.Datagram datagram = datagrams.get(step.index);
                    if (step.action == Action.DELIVER) {
                        datagrams.remove(step.index);
                    } else {
                        copies++;
                    }
                    fleet.processes.get(datagram.to()).receive(datagram.from(), datagram.bytes());
                }
                case LOSE -> {
                    losses++;
                    datagrams.remove(step.index);
                }
                case RESTART -> {
                    restarts++;
                    fleet.processes.get(step.index).start(new SplittableRandom(100 + step.index));
                }
                default -> {
                    pauses++;
                    fleet.processes.get(step.index).paused ^= true;
                }
            }
            fleet.checkSafety();
        }

        List<Step> nextSteps() {
            List<Step> steps = new ArrayList<>();
            Set<String> described = new HashSet<>();
            for (int i = 0; i < datagrams.size() && i < MAX_DATAGRAMS; i++) {
                if (described.add(describe(datagrams.get(i)))) {
                    steps.add(new Step(Action.DELIVER, i));
                    if (losses < 2) {
                        steps.add(new Step(Action.LOSE, i));
                    }
                    if (copies < 1) {
                        steps.add(new Step(Action.TWICE, i));
                    }
                }
            }
            if (datagrams.size() <= MAX_DATAGRAMS) {
                steps.add(new Step(Action.TIME, 0));
            }
            for (int i = 0; i < 3 && restarts < 1; i++) {
                steps.add(new Step(Action.RESTART, i));
            }
            for (int i = 0; i < 2 && pauses < 2; i++) {
                steps.add(new Step(Action.PAUSE, i));
            }
            return steps;
        }

        private String describe(SimulatedLeaseFleet.Datagram datagram) {
            LeaseMessage message = LeaseMessage.decode(datagram.bytes());
            boolean isReply = message.kind() == LeaseMessage.Kind.STATUS
                    || message.kind() == LeaseMessage.Kind.GRANT
                    || message.kind() == LeaseMessage.Kind.REJECT;
            boolean awaited = fleet.processes
                    .get(isReply ? datagram.to() : datagram.from())
                    .manager
                    .awaits("d", message.nonce());
            return datagram.from() + ">" + datagram.to() + " " + message.kind() + " " + message.epoch() + " "
                    + message.holder() + " " + message.durationMs() + " " + awaited;
        }

        String fingerprint() {
            StringBuilder text = new StringBuilder();
            fleet.processes.forEach(process -> text.append(process.paused)
                    .append(process.manager.fingerprint(process.localMs()))
                    .append('/'));
            datagrams.stream()
                    .map(this::describe)
                    .sorted()
                    .forEach(datagramText -> text.append(datagramText).append('&'));
            return text.append(restarts)
                    .append(pauses)
                    .append(losses)
                    .append(copies)
                    .append(fleet.lastEpochs)
                    .toString();
        }
    }

    private static Explored explore(LeaseTiming timing, boolean startHeld, int maxStates) {
        Set<String> fingerprints = new HashSet<>();
        ArrayDeque<Path> frontier = new ArrayDeque<>(List.of(new Path(null, null, 0)));
        int depth = 0;
        while (!frontier.isEmpty() && fingerprints.size() < maxStates) {
            Path path = frontier.poll();
            List<Step> precedingSteps = path.steps();
            depth = path.length;
            for (Step step : replay(timing, startHeld, precedingSteps).nextSteps()) {
                ReplayedState next = replay(timing, startHeld, precedingSteps);
                next.apply(step);
                if (!next.fleet.violations().isEmpty()) {
                    List<Step> trace = new ArrayList<>(precedingSteps);
                    trace.add(step);
                    return new Explored(
                            fingerprints.size(),
                            depth + 1,
                            trace,
                            next.fleet.violations().get(0));
                }
                if (fingerprints.add(next.fingerprint())) {
                    frontier.add(new Path(path, step, path.length + 1));
                }
            }
        }
        return new Explored(fingerprints.size(), depth, List.of(), null);
    }

    private static ReplayedState replay(LeaseTiming timing, boolean startHeld, List<Step> steps) {
        ReplayedState state = new ReplayedState(timing, startHeld);
        steps.forEach(state::apply);
        return state;
    }

    @Test
    void noReachableStatePermitsTwoHoldersToAct() {
        for (boolean held : new boolean[] {false, true}) {
            Explored explored = explore(new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT), held, STATES / 2);
            System.out.println((held ? "from a held lease: " : "from none: ") + "states " + explored.states()
                    + ", depth " + explored.depth());
            assertThat(explored.violation()).as(explored.trace().toString()).isNull();
            assertThat(explored.states()).isGreaterThanOrEqualTo(STATES / 2);
        }
    }

    @Test
    void findsTheShortestTraceOfAVoterWithoutStartupSilence() {
        Explored explored = explore(
                new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT) {
                    @Override
                    public double startupSilenceMs() {
                        return 0;
                    }
                },
                false,
                400_000);
        System.out.println("no silence: " + explored);
        assertThat(explored.violation()).isNotNull();
    }
}
