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
 * All that can happen to some voters and candidates, three and two, breadth first, over the real code: each message
 * that is on its way may come next, in any order, may be lost or come twice; time goes on in quarters of a lease; one
 * process restarts with nothing, one stands still and goes on. A state is a path of choices, played again from the
 * start; states that are alike are looked at once. More of them: {@code -Dlease.states=1000000 -Dlease.voters=5
 * -Dlease.candidates=3}.
 */
class LeaseStatesTest {
    private static final double LEASE = 1000;
    private static final int STATES = Integer.getInteger("lease.states", 25_000);
    private static final int VOTERS = Integer.getInteger("lease.voters", 3);
    private static final int CANDIDATES = Integer.getInteger("lease.candidates", 2);
    private static final int MOST_MAIL = 8;
    private static final double STEP_MS = 260;

    private enum What {
        TIME,
        DELIVER,
        LOSE,
        TWICE,
        RESTART,
        PAUSE
    }

    private record Step(What what, int which) {}

    private record Path(Path before, Step step, int length) {
        List<Step> steps() {
            ArrayList<Step> steps = new ArrayList<>();
            for (Path p = this; p != null && p.step != null; p = p.before) {
                steps.add(0, p.step);
            }
            return steps;
        }
    }

    private record Explored(int states, int depth, List<Step> trace, String fault) {}

    /** A world with its messages in a bag. */
    private static final class Bag {
        final LeaseWorld w;
        final List<LeaseWorld.Mail> mail = new ArrayList<>();
        int restarts;
        int pauses;
        int losses;
        int copies;

        Bag(LeaseTiming rules, boolean held) {
            w = new LeaseWorld(rules, LEASE, VOTERS, List.of("d"));
            w.voters = VOTERS;
            w.standing = CANDIDATES;
            w.sent = (from, to, bytes) -> mail.add(new LeaseWorld.Mail(0, mail.size(), from, to, bytes));
            w.processes.get(0).rate = 1 - LeaseTiming.DRIFT * 0.99;
            w.processes.get(1).rate = 1 + LeaseTiming.DRIFT * 0.99;
            w.processes.forEach(p -> p.start(new SplittableRandom(p.index)));
            w.now = rules.silenceMs() * 1.02 + 1;
            w.processes.forEach(LeaseWorld.Process::tick);
            while (held && !w.held("d")) {
                if (mail.isEmpty()) {
                    play(new Step(What.TIME, 0));
                } else {
                    play(new Step(What.DELIVER, 0));
                }
            }
        }

        void play(Step s) {
            switch (s.what) {
                case TIME -> {
                    w.now += STEP_MS;
                    w.processes.forEach(LeaseWorld.Process::tick);
                }
                case DELIVER, TWICE -> {
                    LeaseWorld.Mail m = mail.get(s.which);
                    if (s.what == What.DELIVER) {
                        mail.remove(s.which);
                    } else {
                        copies++;
                    }
                    w.processes.get(m.to()).heard(m.from(), m.bytes());
                }
                case LOSE -> {
                    losses++;
                    mail.remove(s.which);
                }
                case RESTART -> {
                    restarts++;
                    w.processes.get(s.which).start(new SplittableRandom(100 + s.which));
                }
                default -> {
                    pauses++;
                    w.processes.get(s.which).paused ^= true;
                }
            }
            w.judge();
        }

        List<Step> choices() {
            List<Step> steps = new ArrayList<>();
            Set<String> alike = new HashSet<>();
            for (int i = 0; i < mail.size() && i < MOST_MAIL; i++) {
                if (alike.add(text(mail.get(i)))) {
                    steps.add(new Step(What.DELIVER, i));
                    if (losses < 2) {
                        steps.add(new Step(What.LOSE, i));
                    }
                    if (copies < 1) {
                        steps.add(new Step(What.TWICE, i));
                    }
                }
            }
            if (mail.size() <= MOST_MAIL) {
                steps.add(new Step(What.TIME, 0));
            }
            for (int i = 0; i < 3 && restarts < 1; i++) {
                steps.add(new Step(What.RESTART, i));
            }
            for (int i = 0; i < 2 && pauses < 2; i++) {
                steps.add(new Step(What.PAUSE, i));
            }
            return steps;
        }

        private String text(LeaseWorld.Mail m) {
            LeaseMessage l = LeaseMessage.of(m.bytes());
            boolean answer = l.kind() == LeaseMessage.Kind.STATE
                    || l.kind() == LeaseMessage.Kind.GRANT
                    || l.kind() == LeaseMessage.Kind.REFUSE;
            boolean awaited = w.processes.get(answer ? m.to() : m.from()).duties.awaits("d", l.nonce());
            return m.from() + ">" + m.to() + " " + l.kind() + " " + l.epoch() + " " + l.holder() + " " + l.ms() + " "
                    + awaited;
        }

        String fingerprint() {
            StringBuilder text = new StringBuilder();
            w.processes.forEach(p -> text.append(p.paused)
                    .append(p.duties.fingerprint(p.local()))
                    .append('/'));
            mail.stream().map(this::text).sorted().forEach(t -> text.append(t).append('&'));
            return text.append(restarts)
                    .append(pauses)
                    .append(losses)
                    .append(copies)
                    .append(w.epochs)
                    .toString();
        }
    }

    private static Explored explore(LeaseTiming rules, boolean held, int most) {
        Set<String> known = new HashSet<>();
        ArrayDeque<Path> open = new ArrayDeque<>(List.of(new Path(null, null, 0)));
        int depth = 0;
        while (!open.isEmpty() && known.size() < most) {
            Path at = open.poll();
            List<Step> before = at.steps();
            depth = at.length;
            for (Step s : played(rules, held, before).choices()) {
                Bag b = played(rules, held, before);
                b.play(s);
                if (!b.w.faults().isEmpty()) {
                    List<Step> trace = new ArrayList<>(before);
                    trace.add(s);
                    return new Explored(
                            known.size(), depth + 1, trace, b.w.faults().get(0));
                }
                if (known.add(b.fingerprint())) {
                    open.add(new Path(at, s, at.length + 1));
                }
            }
        }
        return new Explored(known.size(), depth, List.of(), null);
    }

    private static Bag played(LeaseTiming rules, boolean held, List<Step> steps) {
        Bag b = new Bag(rules, held);
        steps.forEach(b::play);
        return b;
    }

    @Test
    void noStateOfThreeVotersHasTwoThatMayAct() {
        for (boolean held : new boolean[] {false, true}) {
            Explored e = explore(new LeaseTiming(LEASE, LeaseTiming.DRIFT), held, STATES / 2);
            System.out.println(
                    (held ? "from a held duty: " : "from none: ") + "states " + e.states() + ", depth " + e.depth());
            assertThat(e.fault()).as(e.trace().toString()).isNull();
            assertThat(e.states()).isGreaterThanOrEqualTo(STATES / 2);
        }
    }

    @Test
    void aVoterThatForgetsAndSpeaksAtOnceIsFoundWithItsShortestTrace() {
        Explored e = explore(
                new LeaseTiming(LEASE, LeaseTiming.DRIFT) {
                    @Override
                    public double silenceMs() {
                        return 0;
                    }
                },
                false,
                400_000);
        System.out.println("no silence: " + e);
        assertThat(e.fault()).isNotNull();
    }
}
