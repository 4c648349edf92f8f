package cacheproxy.fleet.quota;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A dealer's account of one limit: who lends, who wants, what it has given out. It gives out only what is covered, at
 * the time of giving, by loans that outlast the grant and by the fleet's own part while that is its to deal; all that
 * it has given out and that is not over counts, whether it arrived or not. So however many dealers there are, and
 * whatever is lost, all spend no more than the limit. Free of clocks and I/O.
 */
final class AllocationLedger {
    private static final class Want {
        double amount;
        long life;
        long number;
        double heardMs;
        /** Given for this ask; less than nothing: not yet. */
        double given;
    }

    /** What a peer is to be told. */
    record Grant(long peer, long number, double amount) {}

    private final QuotaTiming rules;
    private final Map<Long, OutstandingGrants> loans = new HashMap<>();
    private final Map<Long, OutstandingGrants> grants = new HashMap<>();
    private final Map<Long, Want> wants = new HashMap<>();
    private QuotaSpec limit;
    private double pool;

    AllocationLedger(QuotaTiming rules) {
        this.rules = rules;
    }

    /** @param ofNobody what is dealt out of nobody's share */
    void use(QuotaSpec other, double ofNobody) {
        limit = other;
        pool = ofNobody;
    }

    QuotaSpec limit() {
        return limit;
    }

    /**
     * @param life of the asker's process: what an earlier one had in hand may still be, so that it gives nothing back
     */
    void wanted(double now, long peer, long life, double amount, long number) {
        Want w = wants.computeIfAbsent(peer, p -> new Want());
        boolean same = w.life == life;
        if (!same || number > w.number) {
            OutstandingGrants line = grants.get(peer);
            if (line != null && same) {
                line.cap(amount); // it has given back the rest
            }
            w.life = life;
            w.amount = Math.min(amount, limit.amount());
            w.number = number;
            w.heardMs = now;
            w.given = -1;
        }
    }

    /** @param calledMs when the call that this answers went out */
    void lent(double now, long peer, double amount, double calledMs) {
        loans.computeIfAbsent(peer, p -> new OutstandingGrants(false))
                .add(Math.min(amount, limit.amount()), calledMs + rules.lentMs(limit));
    }

    /** Whether somebody wants more than he owns. */
    boolean isWanted(double now) {
        return wants.values().stream().anyMatch(w -> fresh(now, w));
    }

    private boolean fresh(double now, Want w) {
        return now - w.heardMs <= rules.grantMs() && w.amount > 0;
    }

    /** Forgets what is over; whether nothing is left. */
    boolean over(double now) {
        loans.values().removeIf(l -> l.over(now));
        grants.values().removeIf(l -> l.over(now));
        wants.values().removeIf(w -> now - w.heardMs > 2 * rules.grantMs());
        return loans.isEmpty() && grants.isEmpty() && wants.isEmpty();
    }

    /** What is covered until a grant of now is over. */
    double cover(double now, boolean poolToo) {
        double until = now + rules.outMs(limit);
        double sum = poolToo ? pool : 0;
        for (OutstandingGrants l : loans.values()) {
            sum += l.at(until);
        }
        return sum;
    }

    double out(double now) {
        double sum = 0;
        for (OutstandingGrants l : grants.values()) {
            sum += l.at(now);
        }
        return sum;
    }

    /**
     * Deals: to each whose ask has no answer yet, and to each who can have notably more than it was given for it.
     *
     * @param poolToo whether the fleet's own part is this dealer's to deal out now
     */
    List<Grant> deal(double now, boolean poolToo) {
        List<Map.Entry<Long, Want>> fresh = new ArrayList<>();
        wants.entrySet().stream().filter(e -> fresh(now, e.getValue())).forEach(fresh::add);
        List<Grant> told = new ArrayList<>();
        if (fresh.isEmpty()) {
            return told;
        }
        double cover = cover(now, poolToo);
        double out = out(now);
        double level = MaxMinFairness.level(
                fresh.stream().mapToDouble(e -> e.getValue().amount).toArray(), cover);
        for (Map.Entry<Long, Want> e : fresh) {
            Want w = e.getValue();
            OutstandingGrants line = grants.computeIfAbsent(e.getKey(), k -> new OutstandingGrants(true));
            double own = line.at(now);
            double amount = Math.min(Math.min(w.amount, level), Math.max(0, cover - (out - own)));
            if (limit.atOnce()) {
                amount = Math.floor(amount + 1e-6);
            }
            if (w.given >= 0 && amount < w.given + Math.max(limit.atOnce() ? 1 : 0, 0.02 * w.amount)) {
                continue;
            }
            w.given = amount;
            line.add(amount, now + rules.outMs(limit));
            out += line.at(now) - own;
            told.add(new Grant(e.getKey(), w.number, amount));
        }
        return told;
    }
}
