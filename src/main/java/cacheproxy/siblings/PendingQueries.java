package cacheproxy.siblings;

import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Questions that are out, and which of the datagrams that come back answer one: of the right number, from an address
 * that was asked, about the same key, once from each, in time. Everything else is counted by what is wrong with it and
 * changes nothing. Pure; times in milliseconds.
 *
 * @param <A> an address
 */
public final class PendingQueries<A> {
    /** What became of a datagram that claims to be an answer. */
    public enum Verdict {
        FIRST_HIT,
        COUNTED,
        LAST,
        LATE,
        DOUBLE,
        NOT_ASKED,
        NO_QUESTION,
        OTHER_KEY
    }

    private final int most;
    private final double keepMs;
    private final Map<Integer, Question> open = new LinkedHashMap<>();
    private final Map<Verdict, Long> counts = new EnumMap<>(Verdict.class);
    private int next;

    /**
     * One question. Kept for a while after it is over, so that late answers can be told from forged ones and measured.
     */
    public final class Question {
        public final int number;
        public final String key;
        final Map<A, Boolean> waiting = new LinkedHashMap<>();
        final double askedMs;
        final double untilMs;
        private boolean over;
        private int left;

        Question(int number, String key, Iterable<A> asked, double now, double waitMs) {
            this.number = number;
            this.key = key;
            asked.forEach(a -> waiting.put(a, true));
            left = waiting.size();
            askedMs = now;
            untilMs = now + waitMs;
        }

        /** No answer counts from now on. */
        public void end() {
            over = true;
        }

        public boolean isOver() {
            return over;
        }
    }

    /**
     * What is made of an answer.
     *
     * @param question null where there is none
     * @param elapsedMs since it was asked; NaN where there is none
     */
    public record Reply<Q>(Verdict verdict, Q question, double elapsedMs) {}

    /**
     * @param most questions at once; where there are as many none is asked
     * @param keepMs how long a question is known after its time
     * @param first the first number, by chance, so that numbers can't be guessed from a start
     */
    public PendingQueries(int most, double keepMs, int first) {
        this.most = most;
        this.keepMs = keepMs;
        next = first;
    }

    /** Opens a question; null where there are too many. */
    public Question ask(double now, String key, Iterable<A> asked, double waitMs) {
        open.values().removeIf(q -> now > q.untilMs + keepMs);
        if (open.size() >= most) {
            return null;
        }
        do {
            next++;
        } while (open.containsKey(next));
        Question q = new Question(next, key, asked, now, waitMs);
        open.put(q.number, q);
        return q;
    }

    /** An answer has come. {@code key} null: the protocol does not repeat it. */
    public Reply<Question> answered(double now, int number, A from, String key, boolean hit) {
        Question q = open.get(number);
        Verdict v = verdict(now, q, from, key, hit);
        counts.merge(v, 1L, Long::sum);
        return new Reply<>(v, q, q == null ? Double.NaN : now - q.askedMs);
    }

    private Verdict verdict(double now, Question q, A from, String key, boolean hit) {
        if (q == null || now > q.untilMs + keepMs) {
            return Verdict.NO_QUESTION;
        }
        Boolean waits = q.waiting.get(from);
        if (waits == null) {
            return Verdict.NOT_ASKED;
        }
        if (key != null && !key.equals(q.key)) {
            return Verdict.OTHER_KEY;
        }
        if (!waits) {
            return Verdict.DOUBLE;
        }
        q.waiting.put(from, false);
        q.left--;
        if (q.over || now > q.untilMs) {
            return Verdict.LATE;
        }
        if (hit) {
            q.end();
            return Verdict.FIRST_HIT;
        }
        if (q.left == 0) {
            q.end();
            return Verdict.LAST;
        }
        return Verdict.COUNTED;
    }

    /** How many of each have come. */
    public long count(Verdict v) {
        return counts.getOrDefault(v, 0L);
    }

    /** Questions that are known. */
    public int size() {
        return open.size();
    }
}
