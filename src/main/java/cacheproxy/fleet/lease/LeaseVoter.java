package cacheproxy.fleet.lease;

import cacheproxy.fleet.lease.LeaseMessage.Kind;
import java.util.HashMap;
import java.util.Map;

/**
 * A process's word on leases: for each duty to one peer at a time, until that peer's lease is over in true time.
 * Nothing is kept on disk: one that has started says nothing until all that it may have granted before is over
 * (PaxosLease: Trencseni, Gazso, Reinhardt, 2012).
 */
public final class LeaseVoter {
    /** Duties that it keeps in mind; a claim on one more is not answered, so a flood of names can't push others out. */
    public static final int MOST_DUTIES = 4096;

    private final LeaseTiming rules;
    private final double speaksFromMs;
    private final Map<Long, Word> words = new HashMap<>();

    private static final class Word {
        long holder = NameHash.NOBODY;
        /** Of the holder's process: another one of its name is another holder. */
        long life;

        long epoch;
        double untilMs = Double.NEGATIVE_INFINITY;

        boolean is(long peer, long process) {
            return holder == peer && life == process;
        }
    }

    /** @param startMs when the process started, by its own clock */
    public LeaseVoter(LeaseTiming rules, double startMs) {
        this.rules = rules;
        speaksFromMs = startMs + rules.silenceMs();
    }

    /** The answer to a peer's message; null: none. */
    public LeaseMessage heard(double now, long from, LeaseMessage m) {
        if (now < speaksFromMs) {
            return null;
        }
        Word w = words.get(m.duty());
        return switch (m.kind()) {
            case ASK -> state(Kind.STATE, now, m, w, from);
            case CLAIM -> claim(now, from, m, w);
            case RELEASE -> {
                if (w != null && w.is(from, m.holder()) && w.epoch == m.epoch()) {
                    w.untilMs = Double.NEGATIVE_INFINITY;
                }
                yield null;
            }
            default -> null;
        };
    }

    private LeaseMessage claim(double now, long from, LeaseMessage m, Word known) {
        if (m.ms() <= 0 || m.ms() > rules.longestMs() || known == null && words.size() >= MOST_DUTIES) {
            return null;
        }
        Word w = known == null ? new Word() : known;
        boolean others = !w.is(from, m.holder()) && now < w.untilMs;
        boolean older = m.epoch() < w.epoch || m.epoch() == w.epoch && !w.is(from, m.holder());
        if (known != null && (others || older)) {
            return state(Kind.REFUSE, now, m, w, from);
        }
        w.holder = from;
        w.life = m.holder();
        w.epoch = m.epoch();
        w.untilMs = now + rules.voterMs(m.ms());
        words.put(m.duty(), w);
        return new LeaseMessage(Kind.GRANT, m.duty(), m.nonce(), m.epoch(), from, m.ms());
    }

    private static LeaseMessage state(Kind kind, double now, LeaseMessage m, Word w, long from) {
        boolean held = w != null && now < w.untilMs && !w.is(from, m.holder());
        return new LeaseMessage(
                kind,
                m.duty(),
                m.nonce(),
                w == null ? 0 : w.epoch,
                held ? w.holder : NameHash.NOBODY,
                held ? (int) Math.min(Integer.MAX_VALUE, Math.ceil(w.untilMs - now)) : 0);
    }

    /** Duties that it has given its word on. */
    public int size() {
        return words.size();
    }

    /** Whether it would grant a duty to nobody but this peer now: its word is given, or it says nothing yet. */
    boolean keepsFor(double now, long duty, long peer) {
        Word w = words.get(duty);
        return now < speaksFromMs || w != null && w.holder == peer && now < w.untilMs;
    }

    /** All that it knows, in one order, for a model checker. */
    String fingerprint(double now) {
        StringBuilder text = new StringBuilder(now < speaksFromMs ? "silent " + Math.round(speaksFromMs - now) : "");
        words.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .forEach(e -> text.append(';')
                        .append(e.getKey())
                        .append(' ')
                        .append(e.getValue().holder)
                        .append(' ')
                        .append(e.getValue().life)
                        .append(' ')
                        .append(e.getValue().epoch)
                        .append(' ')
                        .append(Math.max(0, Math.round(e.getValue().untilMs - now))));
        return text.toString();
    }
}
