package cacheproxy.discovery;

import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.LeaseHandle;
import java.util.SplittableRandom;

/**
 * How closely a proxy watches discovery's list where one of its zone does so for all, by a duty: the holder keeps a
 * call out at all times and tells the version that it has, with every beat and at once when it changes; the others call
 * only when they hear of a later one, and rarely besides. What the list says only discovery tells. Where word stops,
 * each watches closely again. Free of I/O and clocks.
 *
 * <p>How much older than discovery's a list can be, beyond the time of a call: while word comes, the gathering time;
 * after a lost word, a beat more; after the holder's end, one and a half times the word's time; where the holder's own
 * watch has fallen silent, or word came late by a link's delay, the time between two rare calls.
 */
public final class DelegatedWatch {
    /**
     * Times in milliseconds.
     *
     * @param beatMs between two words of the holder
     * @param wordMs for so long word counts, and up to half as long again, so that not all begin to watch at once
     * @param lazyMs the longest between two calls of who does not watch
     * @param gatherMs within which all call when they hear of a later version: several versions make one call
     */
    public record Rules(double beatMs, double wordMs, double lazyMs, double gatherMs) {
        public Rules {
            if (!(beatMs > 0) || !(wordMs > beatMs) || !(lazyMs >= wordMs) || !(gatherMs >= 0)) {
                throw new IllegalArgumentException(
                        "beat " + beatMs + ", word " + wordMs + ", lazy " + lazyMs + ", gather " + gatherMs);
            }
        }
    }

    /** What it orders. */
    public interface Out {
        /** Tells all of the zone. */
        void tell(WatchVersionMessage w);

        void tell(long to, WatchVersionMessage w);

        /** A call is to be out at all times from now on, or no longer. */
        void closely(boolean on);

        /** Calls once. */
        void ask();
    }

    private static final double SPREAD = 0.5;
    private static final double LAZY_SPREAD = 0.25;

    private final LeaseHandle tenure;
    private final SplittableRandom random;
    private final Out out;
    private final FencingTokenCheck guard = new FencingTokenCheck();
    private final double spread;
    private Rules rules;
    private boolean close = true;
    private long version;
    private double wordUntilMs = Double.NEGATIVE_INFINITY;
    private long wordEpoch = -1;
    private long wordBeat = -1;
    private long beats;
    private double nextBeatMs = Double.NEGATIVE_INFINITY;
    private double nextLaterMs = Double.NEGATIVE_INFINITY;
    private double askAtMs = Double.POSITIVE_INFINITY;

    public DelegatedWatch(LeaseHandle tenure, Rules rules, SplittableRandom random, Out out) {
        this.tenure = tenure;
        this.rules = rules;
        this.random = random;
        this.out = out;
        spread = 1 + SPREAD * random.nextDouble();
    }

    /** Other figures from now on. */
    public void use(Rules other) {
        rules = other;
    }

    private boolean holds(double now) {
        return tenure.permit(now, 0) >= 0;
    }

    /** Whether a call is to be out at all times: it watches for all, or nobody's word is to be had. */
    public boolean closely(double now) {
        return now >= wordUntilMs || holds(now);
    }

    /** The version of the list that is had here; a lower one than before where discovery counts anew. */
    public void have(double now, long seq) {
        if (seq != version) {
            version = seq;
            if (holds(now)) {
                beat(now);
            }
        }
    }

    public long version() {
        return version;
    }

    private void beat(double now) {
        long epoch = tenure.permit(now, 0);
        if (epoch >= 0) {
            nextBeatMs = now + rules.beatMs();
            out.tell(new WatchVersionMessage(false, tenure.id(), epoch, ++beats, version));
        }
    }

    public void heard(double now, long from, WatchVersionMessage w) {
        if (w.duty() != tenure.id()) {
            return;
        }
        if (w.later()) {
            // The watch here has missed something; a call shows it, or shows that the word was wrong.
            if (w.version() > version && now >= nextLaterMs && holds(now)) {
                nextLaterMs = now + rules.beatMs();
                out.ask();
            }
            return;
        }
        if (!guard.accepts(w.duty(), w.epoch()) || w.epoch() == wordEpoch && w.beat() <= wordBeat) {
            return;
        }
        wordEpoch = w.epoch();
        wordBeat = w.beat();
        wordUntilMs = now + rules.wordMs() * spread;
        if (w.version() > version) {
            askAtMs = Math.min(askAtMs, now + random.nextDouble() * rules.gatherMs());
        } else if (w.version() < version && now >= nextLaterMs) {
            nextLaterMs = now + rules.beatMs();
            out.tell(from, new WatchVersionMessage(true, w.duty(), 0, 0, version));
        }
        change(now);
    }

    private void change(double now) {
        boolean on = closely(now);
        if (on != close) {
            close = on;
            if (!on) {
                askAtMs = Math.min(askAtMs, lazily(now));
            }
            out.closely(on);
        }
    }

    private double lazily(double now) {
        return now + rules.lazyMs() * (1 - LAZY_SPREAD * random.nextDouble());
    }

    /** Does what is due; when to call again, at the latest, but for gaining and losing the duty. */
    public double tick(double now) {
        change(now);
        if (now >= nextBeatMs && holds(now)) {
            beat(now);
        }
        if (close) {
            askAtMs = Double.POSITIVE_INFINITY;
        } else if (now >= askAtMs) {
            askAtMs = lazily(now);
            out.ask();
        }
        return Math.min(
                Math.min(askAtMs, wordUntilMs > now ? wordUntilMs : Double.POSITIVE_INFINITY),
                nextBeatMs > now ? nextBeatMs : Double.POSITIVE_INFINITY);
    }
}
