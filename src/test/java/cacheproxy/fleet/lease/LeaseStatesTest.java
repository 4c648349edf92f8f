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
 * Explores the reachable states of a few voters and candidates breadth first, over the real code: each message in
 * flight may be delivered next in any order, be lost or be duplicated; time advances in quarters of a lease; one
 * process restarts without its state, one pauses. A state is a path of choices, replayed from the start; states with
 * the same fingerprint are explored once. For larger runs: {@code -Dlease.states=1000000 -Dlease.voters=5
 * -Dlease.candidates=3}.
 */
class LeaseStatesTest {
    private static final double LEASE_MS = 1000;
    private static final int STATES = Integer.getInteger("lease.states", 25_000);
    private static final int VOTERS = Integer.getInteger("lease.voters", 3);
    private static final int CANDIDATES = Integer.getInteger("lease.candidates", 2);
    private static final int MAX_MAIL = 8;
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

    private record Path(Path before, Step step, int length) {
        List<Step> steps() {
            ArrayList<Step> steps = new ArrayList<>();
            for (Path path = this; path != null && path.step != null; path = path.before) {
                steps.add(0, path.step);
            }
            return steps;
        }
    }

    private record Explored(int states, int depth, List<Step> trace, String fault) {}

    /** A world whose messages are delivered in any order. */
    private static final class ReplayedState {
        final LeaseWorld world;
        final List<LeaseWorld.Mail> mail = new ArrayList<>();
        int restarts;
        int pauses;
        int losses;
        int copies;

        ReplayedState(LeaseTiming timing, boolean held) {
            world = new LeaseWorld(timing, LEASE_MS, VOTERS, List.of("d"));
            world.voterCount = VOTERS;
            world.candidateCount = CANDIDATES;
            world.network = (from, to, bytes) -> mail.add(new LeaseWorld.Mail(0, mail.size(), from, to, bytes));
            world.processes.get(0).rate = 1 - LeaseTiming.MAX_CLOCK_DRIFT * 0.99;
            world.processes.get(1).rate = 1 + LeaseTiming.MAX_CLOCK_DRIFT * 0.99;
            world.processes.forEach(process -> process.start(new SplittableRandom(process.index)));
            world.nowMs = timing.startupSilenceMs() * 1.02 + 1;
            world.processes.forEach(LeaseWorld.Member::tick);
            while (held && !world.held("d")) {
                if (mail.isEmpty()) {
                    play(new Step(Action.TIME, 0));
                } else {
                    play(new Step(Action.DELIVER, 0));
                }
            }
        }

        void play(Step step) {
            switch (step.action) {
                case TIME -> {
                    world.nowMs += STEP_MS;
                    world.processes.forEach(LeaseWorld.Member::tick);
                }
                case DELIVER, TWICE -> {
                    LeaseWorld.Mail message = mail.get(step.index);
                    if (step.action == Action.DELIVER) {
                        mail.remove(step.index);
                    } else {
                        copies++;
                    }
                    world.processes.get(message.to()).receive(message.from(), message.bytes());
                }
                case LOSE -> {
                    losses++;
                    mail.remove(step.index);
                }
                case RESTART -> {
                    restarts++;
                    world.processes.get(step.index).start(new SplittableRandom(100 + step.index));
                }
                default -> {
                    pauses++;
                    world.processes.get(step.index).paused ^= true;
                }
            }
            world.check();
        }

        List<Step> choices() {
            List<Step> steps = new ArrayList<>();
            Set<String> alike = new HashSet<>();
            for (int i = 0; i < mail.size() && i < MAX_MAIL; i++) {
                if (alike.add(text(mail.get(i)))) {
                    steps.add(new Step(Action.DELIVER, i));
                    if (losses < 2) {
                        steps.add(new Step(Action.LOSE, i));
                    }
                    if (copies < 1) {
                        steps.add(new Step(Action.TWICE, i));
                    }
                }
            }
            if (mail.size() <= MAX_MAIL) {
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

        private String text(LeaseWorld.Mail letter) {
            LeaseMessage message = LeaseMessage.decode(letter.bytes());
            boolean answer = message.kind() == LeaseMessage.Kind.STATUS
                    || message.kind() == LeaseMessage.Kind.GRANT
                    || message.kind() == LeaseMessage.Kind.REJECT;
            boolean awaited = world.processes
                    .get(answer ? letter.to() : letter.from())
                    .manager
                    .awaits("d", message.nonce());
            return letter.from() + ">" + letter.to() + " " + message.kind() + " " + message.epoch() + " "
                    + message.holder() + " " + message.ms() + " " + awaited;
        }

        String fingerprint() {
            StringBuilder text = new StringBuilder();
            world.processes.forEach(process -> text.append(process.paused)
                    .append(process.manager.fingerprint(process.localMs()))
                    .append('/'));
            mail.stream()
                    .map(this::text)
                    .sorted()
                    .forEach(mailText -> text.append(mailText).append('&'));
            return text.append(restarts)
                    .append(pauses)
                    .append(losses)
                    .append(copies)
                    .append(world.epochs)
                    .toString();
        }
    }

    private static Explored explore(LeaseTiming timing, boolean held, int maxStates) {
        Set<String> known = new HashSet<>();
        ArrayDeque<Path> open = new ArrayDeque<>(List.of(new Path(null, null, 0)));
        int depth = 0;
        while (!open.isEmpty() && known.size() < maxStates) {
            Path path = open.poll();
            List<Step> before = path.steps();
            depth = path.length;
            for (Step step : replay(timing, held, before).choices()) {
                ReplayedState next = replay(timing, held, before);
                next.play(step);
                if (!next.world.violations().isEmpty()) {
                    List<Step> trace = new ArrayList<>(before);
                    trace.add(step);
                    return new Explored(
                            known.size(),
                            depth + 1,
                            trace,
                            next.world.violations().get(0));
                }
                if (known.add(next.fingerprint())) {
                    open.add(new Path(path, step, path.length + 1));
                }
            }
        }
        return new Explored(known.size(), depth, List.of(), null);
    }

    private static ReplayedState replay(LeaseTiming timing, boolean held, List<Step> steps) {
        ReplayedState state = new ReplayedState(timing, held);
        steps.forEach(state::play);
        return state;
    }

    @Test
    void noReachableStatePermitsTwoHoldersToAct() {
        for (boolean held : new boolean[] {false, true}) {
            Explored explored = explore(new LeaseTiming(LEASE_MS, LeaseTiming.MAX_CLOCK_DRIFT), held, STATES / 2);
            System.out.println((held ? "from a held lease: " : "from none: ") + "states " + explored.states()
                    + ", depth " + explored.depth());
            assertThat(explored.fault()).as(explored.trace().toString()).isNull();
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
        assertThat(explored.fault()).isNotNull();
    }
}
