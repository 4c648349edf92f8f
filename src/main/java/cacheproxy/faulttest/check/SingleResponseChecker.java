package cacheproxy.faulttest.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Each request that a proxy has taken gets one final answer, in time, also from one that was asked to end. Excused are
 * those of a process that was killed with them in hand, and for as long as a process stood still nobody can ask it for
 * an answer. A connection that ended between requests at a planned end may have crossed one, which then must not have
 * been carried on.
 */
public final class SingleResponseChecker implements Checker {
    /** What the rules grant beyond a request's time. */
    private static final long SLACK_US = 550_000;
    /** A reset and the kill that it comes of are noticed by two threads. */
    private static final long NOTICED_US = 100_000;

    private static final class Open {
        final Event asked;
        boolean answered;
        boolean gone;
        boolean arrived;

        Open(Event asked) {
            this.asked = asked;
        }
    }

    @Override
    public String name() {
        return "one-answer";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Map<String, Open> open = new HashMap<>();
        Set<String> over = new HashSet<>();
        for (Event e : run.events()) {
            switch (e.what()) {
                case Event.ASKED -> {
                    f.looked();
                    open.put(e.id(), new Open(e));
                }
                case Event.ARRIVED, Event.EFFECT -> {
                    Open o = open.get(e.id());
                    if (o != null) {
                        o.arrived = true;
                    }
                }
                case Event.ANSWERED -> answered(run, f, open.get(e.id()), e, over);
                case Event.GONE -> gone(run, f, open.get(e.id()), e);
                case Event.LEFT -> {
                    Open o = open.get(e.id());
                    if (o != null && !o.answered && !excused(run, o, e)) {
                        f.broken(
                                e,
                                e.id() + " at " + e.who() + " had no answer " + since(o, e) + " ms after it was sent");
                    }
                    if (o != null) {
                        o.answered = true;
                    }
                }
                default -> {}
            }
        }
        for (Open o : open.values()) {
            // Whether its process was ended counts at its own time: at the run's end all are.
            long due = o.asked.us() + (long) (o.asked.value() * 1000) + SLACK_US;
            if (!o.answered
                    && !o.gone
                    && run.endUs() > due
                    && !run.dead(o.asked.who(), o.asked.earliest(), due)
                    && !stood(run, o, run.endUs())) {
                f.broken(o.asked, o.asked.id() + " at " + o.asked.who() + " never had an answer");
            }
        }
        return f;
    }

    private static void answered(RunHistory run, Violations f, Open o, Event e, Set<String> over) {
        if (e.detail().equals("wrong")) {
            f.broken(e, e.id() + " at " + e.who() + " was answered with what nobody made for it");
        }
        if (!over.add(e.id())) {
            f.broken(e, e.id() + " was answered twice");
            return;
        }
        if (o == null) {
            f.broken(e, e.id() + " was answered and never asked");
            return;
        }
        o.answered = true;
        long late = e.earliest() - o.asked.us() - (long) (o.asked.value() * 1000) - SLACK_US;
        if (late > 0 && !excused(run, o, e)) {
            f.broken(e, e.id() + " at " + e.who() + " had its answer after " + since(o, e) + " ms");
        }
    }

    private static void gone(RunHistory run, Violations f, Open o, Event e) {
        if (o == null || o.answered) {
            return;
        }
        o.gone = true;
        if (run.dead(e.who(), e.earliest() - NOTICED_US, e.us() + NOTICED_US)) {
            return;
        }
        if (!run.ending(e.who(), e.earliest() - NOTICED_US, e.us()) || o.arrived) {
            f.broken(e, e.id() + " at " + e.who() + " lost its connection, with no whole answer");
        }
    }

    private static boolean excused(RunHistory run, Open o, Event e) {
        return run.dead(o.asked.who(), o.asked.earliest(), e.us()) || stood(run, o, e.earliest());
    }

    /** Whether the time that its process had, without that in which it stood still, is within what the rules allow. */
    private static boolean stood(RunHistory run, Open o, long until) {
        long stood = run.stoppedUs(o.asked.who(), o.asked.earliest(), until);
        return stood > 0 && until - o.asked.us() - stood < (long) (o.asked.value() * 1000) + SLACK_US;
    }

    private static long since(Open o, Event e) {
        return (e.us() - o.asked.us()) / 1000;
    }
}
