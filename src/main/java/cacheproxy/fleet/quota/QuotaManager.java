package cacheproxy.fleet.quota;

import cacheproxy.fleet.lease.FencingTokenCheck;
import cacheproxy.fleet.lease.LeaseHandle;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.quota.QuotaMessage.Entry;
import cacheproxy.fleet.quota.QuotaMessage.Kind;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.LongPredicate;

/**
 * The limits of a fleet at one of its proxies: what it may spend ({@link LocalQuota}), and what it deals out where
 * others ask it ({@link AllocationLedger}). Limits are dealt into shares, each a duty; who holds it is asked first, and
 * alone deals out what is in nobody's share. Where it does not answer, the next in the duty's order is asked: whoever
 * is asked deals, since safety rests on loans and not on who deals. Free of clocks and I/O.
 */
public final class QuotaManager {
    public static final int MOST_LIMITS = 1000;
    /** A burst is asked for at once, but not more often. */
    private static final double URGENT_MS = 20;
    /** All limits are looked at no more often, however many datagrams come. */
    private static final double LOOK_MS = 15;
    /** Loans that come one after another are dealt out together. */
    private static final double GATHER_MS = 4;
    /** Who has not answered for so many beats is passed over, and tried again after so many grants' times. */
    private static final double PATIENCE_BEATS = 0.5;

    private static final double SHUNNED = 3;
    /** Each so many calls go to all, to those as well that are not thought to be there. */
    private static final int CALL_ALL = 6;
    /** Numbers of asks and calls whose times are kept. */
    private static final int MOST_NUMBERS = 4096;

    /** Where messages go. */
    public interface Out {
        void send(long to, QuotaMessage m);
    }

    /**
     * A limit as this proxy sees it; {@code alone}: since when it wants more and nobody answers, NaN if that is not so.
     */
    public record Sight(
            QuotaSpec limit,
            double mine,
            double own,
            double lent,
            double needs,
            int inHand,
            long spent,
            long refused,
            double aloneSinceMs) {}

    private record Asked(double atMs, long to) {}

    private final long me;
    private final long book;
    private final QuotaTiming rules;
    private final SplittableRandom random;
    private final LongPredicate likely;
    private final Out out;
    private final double startMs;
    private final Map<Long, LocalQuota> pockets = new LinkedHashMap<>();
    private final Map<Long, AllocationLedger> books = new HashMap<>();
    private final Map<Long, Asked> asks = new LinkedHashMap<>();
    private final Map<Long, Double> calls = new LinkedHashMap<>();
    private final Map<Long, Double> wordMs = new HashMap<>();
    /** Peers that did not answer, until when they are passed over. */
    private final Map<Long, Double> shunned = new HashMap<>();

    private final Map<Integer, Double> ownedSinceMs = new HashMap<>();
    private final ArrayDeque<QuotaMessage> self = new ArrayDeque<>();
    private final Map<Long, Double> dropped = new HashMap<>();
    private double longestHoldMs;
    private Map<Long, QuotaSpec> limits = Map.of();
    private List<LeaseHandle> shares = List.of();
    private List<Long> peers = List.of();
    private int proxies = 1;
    private boolean changing;
    private long number;
    private int calling;
    private double askAtMs;
    private double callAtMs;
    private double lookedMs = Double.NEGATIVE_INFINITY;
    private double dealAtMs = Double.POSITIVE_INFINITY;
    /** When any other was heard. */
    private double heardMs = Double.NEGATIVE_INFINITY;

    private double urgentFromMs = Double.NEGATIVE_INFINITY;
    private boolean urgent;
    private long olderEpochs;
    private final FencingTokenCheck guard = new FencingTokenCheck();

    /** @param likely whether a peer may be there: a guess, which hastens who is asked and allows nothing */
    public QuotaManager(
            long me, QuotaTiming rules, SplittableRandom random, double startMs, LongPredicate likely, Out out) {
        this.likely = likely;
        this.me = me;
        this.rules = rules;
        this.random = random;
        this.out = out;
        this.startMs = startMs;
        book = random.nextLong() | 1;
        number = random.nextLong() >>> 2;
    }

    /**
     * The file counts from now on.
     *
     * @param list the proxies that share the limits, this one among them
     * @param proxyCount into how many shares they are cut: while the list changes those of both lists
     * @param owns whether this proxy has a share: one that joins has none until the change is over, nor has one that
     *     leaves
     */
    public void use(
            List<QuotaSpec> wanted,
            List<LeaseHandle> duties,
            List<Long> list,
            int proxyCount,
            boolean isChanging,
            boolean owns,
            double now) {
        if (wanted.size() > MOST_LIMITS || duties.isEmpty()) {
            throw new IllegalArgumentException(wanted.size() + " limits, " + duties.size() + " duties");
        }
        Map<Long, QuotaSpec> named = new LinkedHashMap<>();
        wanted.forEach(l -> named.put(NameHash.of(l.name()), l));
        limits = named;
        shares = List.copyOf(duties);
        peers = List.copyOf(list);
        proxies = Math.max(1, proxyCount);
        changing = isChanging;
        // What it has lent stands though the file no longer has the limit, or has one of another kind by its name.
        dropped.values().removeIf(at -> now - at > 2 * QuotaTiming.LOAN * rules.grantMs() + longestHoldMs);
        pockets.entrySet().removeIf(e -> {
            QuotaSpec l = named.get(e.getKey());
            longestHoldMs = Math.max(longestHoldMs, e.getValue().limit().holdMs());
            boolean gone = l == null || l.atOnce() != e.getValue().limit().atOnce();
            if (gone) {
                dropped.put(e.getKey(), now);
            }
            return gone;
        });
        // Books of limits that are gone stay until what they gave out is over.
        named.forEach((id, l) -> {
            pockets.computeIfAbsent(id, k -> new LocalQuota(l, rules, dropped.getOrDefault(id, startMs)))
                    .use(l, owns ? l.share(proxies) : 0, proxies, now);
            AllocationLedger b = books.get(id);
            if (b != null) {
                b.use(l, l.pool(proxies, changing));
            }
        });
    }

    /** What this proxy may spend of a limit; null if there is none of this name. */
    public LocalQuota pocket(String name) {
        return pockets.get(NameHash.of(name));
    }

    /**
     * A request was refused: where notably more is needed than was asked for last, it is asked for soon, not at the
     * next beat.
     */
    public boolean hurry(LocalQuota p, double now) {
        urgent |= p.needsMore(now);
        return urgent;
    }

    private static int share(long limit, int of) {
        return (int) Long.remainderUnsigned(limit * 0x9E3779B97F4A7C15L >>> 16, of);
    }

    // ---- time

    /** Does what is due; when to call again, at the latest. */
    public double tick(double now) {
        if (now - lookedMs >= LOOK_MS) {
            lookedMs = now;
            pockets.values().forEach(p -> {
                p.tick(now);
                urgent |= p.holdsTooMuch(now) || p.unanswered(now);
            });
        }
        owned(now);
        boolean soon = urgent && now >= urgentFromMs;
        if (now >= askAtMs || soon) {
            ask(now);
            askAtMs = now + rules.beatMs() * (0.9 + 0.1 * random.nextDouble());
            urgentFromMs = now + URGENT_MS;
            urgent = false;
        }
        if (now >= callAtMs) {
            call(now);
            callAtMs = now + rules.beatMs();
        }
        if (now >= dealAtMs) {
            deal(now);
        }
        deliver(now);
        double next = Math.min(askAtMs, Math.min(callAtMs, dealAtMs));
        return urgent ? Math.min(next, Math.max(now, urgentFromMs)) : next;
    }

    private void owned(double now) {
        for (int i = 0; i < shares.size(); i++) {
            if (shares.get(i).permit(now, 0) < 0) {
                ownedSinceMs.remove(i);
            } else {
                ownedSinceMs.putIfAbsent(
                        i, Math.max(now, startMs)); // it may begin in silence, for longer grants of before
            }
        }
    }

    /** The epoch under which the fleet's own part of a limit is this one's to deal out; 0: it is not. */
    private long epoch(QuotaSpec l, long id, double now) {
        int share = share(id, shares.size());
        Double since = ownedSinceMs.get(share);
        long epoch = since == null ? -1 : shares.get(share).permit(now, 0);
        return epoch > 0 && now >= since + rules.takeoverMs(l) ? epoch : 0;
    }

    private void ask(double now) {
        forget(asks.values().iterator(), now);
        forgetTimes(calls.values().iterator(), now);
        Map<Long, List<Entry>> byDealer = new LinkedHashMap<>();
        long[] dealers = new long[shares.size()];
        pockets.forEach((id, p) -> {
            double wants = p.wants(now);
            if (wants > 0 || p.holdsGrant(now)) {
                int share = share(id, dealers.length);
                if (dealers[share] == NameHash.NOBODY) {
                    dealers[share] = dealer(shares.get(share), now);
                }
                // What is in nobody's share only the holder deals out, so nobody else is worth asking.
                long to = p.limit().sharePart() > 0 ? dealers[share] : holder(shares.get(share), dealers[share], now);
                byDealer.computeIfAbsent(to, k -> new ArrayList<>()).add(new Entry(id, wants));
            }
        });
        byDealer.forEach((to, entries) -> parts(entries).forEach(part -> {
            QuotaMessage m = new QuotaMessage(Kind.WANT, book, ++number, 0, part);
            if (asks.size() < MOST_NUMBERS) {
                asks.put(number, new Asked(now, to));
                part.forEach(e -> pockets.get(e.limit()).asks(e.amount(), number, now));
                send(to, m);
            }
        }));
    }

    private void forget(Iterator<Asked> times, double now) {
        while (times.hasNext()) {
            Asked a = times.next();
            if (now - a.atMs < rules.grantMs()) {
                return;
            }
            times.remove();
        }
    }

    private void forgetTimes(Iterator<Double> times, double now) {
        while (times.hasNext() && now - times.next() >= rules.grantMs()) {
            times.remove();
        }
    }

    /**
     * Who is asked about a limit: the holder of its duty, or the next in order that has not failed to answer lately.
     */
    private long dealer(LeaseHandle t, double now) {
        long holder = t.permit(now, 0) >= 0 ? me : t.holder(now);
        // It holds the duty by the voters' word, so it was there just now: the answer may have been lost.
        if (holder != NameHash.NOBODY && answers(holder, rules.beatMs(), now)) {
            return holder;
        }
        for (long p : t.candidateOrder()) {
            if (answers(p, now)) {
                return p;
            }
        }
        return me;
    }

    private long holder(LeaseHandle t, long otherwise, double now) {
        long holder = t.permit(now, 0) >= 0 ? me : t.holder(now);
        return holder == NameHash.NOBODY ? otherwise : holder;
    }

    private boolean answers(long peer, double now) {
        return answers(peer, SHUNNED * rules.grantMs(), now);
    }

    /** @param shunMs for so long one that does not answer is passed over */
    private boolean answers(long peer, double shunMs, double now) {
        if (peer == me) {
            return true;
        }
        Double until = shunned.get(peer);
        if (until != null && now < until || !likely.test(peer)) {
            return false;
        }
        // Asked some time ago and not a word since: somebody else, for a while.
        for (Asked a : asks.values()) {
            if (a.to == peer) {
                boolean late = now - a.atMs > rules.beatMs() * PATIENCE_BEATS
                        && wordMs.getOrDefault(peer, Double.NEGATIVE_INFINITY) < a.atMs;
                if (late) {
                    shunned.put(peer, now + shunMs);
                }
                return !late;
            }
        }
        return true;
    }

    private void call(double now) {
        List<Entry> wanted = new ArrayList<>();
        books.entrySet().removeIf(e -> e.getValue().over(now));
        books.forEach((id, b) -> {
            if (b.limit().sharePart() > 0 && b.isWanted(now)) {
                wanted.add(new Entry(id, 0));
            }
        });
        boolean all = ++calling % CALL_ALL == 0; // a guess may be wrong, also for long
        for (List<Entry> part : parts(wanted)) {
            if (calls.size() >= MOST_NUMBERS) {
                return;
            }
            calls.put(++number, now);
            QuotaMessage m = new QuotaMessage(Kind.CALL, book, number, 0, part);
            peers.stream().filter(p -> all || p == me || likely.test(p)).forEach(p -> send(p, m));
        }
    }

    private static List<List<Entry>> parts(List<Entry> all) {
        List<List<Entry>> parts = new ArrayList<>();
        for (int i = 0; i < all.size(); i += QuotaMessage.MOST_ENTRIES) {
            parts.add(all.subList(i, Math.min(all.size(), i + QuotaMessage.MOST_ENTRIES)));
        }
        return parts;
    }

    private void deal(double now) {
        dealAtMs = Double.POSITIVE_INFINITY;
        // By peer, ask and epoch: entries of one ask go out in one message.
        Map<List<Long>, List<Entry>> told = new LinkedHashMap<>();
        books.forEach((id, b) -> {
            long epoch = epoch(b.limit(), id, now);
            b.deal(now, epoch > 0)
                    .forEach(g -> told.computeIfAbsent(List.of(g.peer(), g.number(), epoch), k -> new ArrayList<>())
                            .add(new Entry(id, g.amount())));
        });
        told.forEach((to, entries) -> parts(entries)
                .forEach(part -> send(to.get(0), new QuotaMessage(Kind.GRANT, book, to.get(1), to.get(2), part))));
    }

    // ---- messages

    private void send(long to, QuotaMessage m) {
        if (to == me) {
            self.add(m);
        } else {
            out.send(to, m);
        }
    }

    /** A peer's message; its own to itself come by {@link #tick}. */
    public void heard(double now, long from, QuotaMessage m) {
        wordMs.put(from, now);
        heardMs = now;
        shunned.remove(from);
        take(now, from, m);
        deliver(now);
    }

    private void deliver(double now) {
        for (QuotaMessage m; (m = self.poll()) != null; ) {
            take(now, me, m);
        }
    }

    private void take(double now, long from, QuotaMessage m) {
        switch (m.kind()) {
            case WANT -> wanted(now, from, m);
            case CALL -> called(now, from, m);
            case LOAN -> lent(now, from, m);
            default -> granted(now, from, m);
        }
    }

    private void wanted(double now, long from, QuotaMessage m) {
        boolean fresh = false;
        for (Entry e : m.entries()) {
            QuotaSpec l = limits.get(e.limit());
            if (l == null) {
                continue; // its file has a limit that this one's lacks
            }
            AllocationLedger b = books.get(e.limit());
            if (b == null) {
                b = new AllocationLedger(rules);
                b.use(l, l.pool(proxies, changing));
                books.put(e.limit(), b);
            }
            fresh |= l.sharePart() > 0 && !b.isWanted(now);
            b.wanted(now, from, m.book(), e.amount(), m.number());
        }
        if (fresh) {
            callAtMs = now; // nobody has been asked to lend yet
        }
        dealAtMs = Math.min(dealAtMs, now);
    }

    private void called(double now, long from, QuotaMessage m) {
        List<Entry> loans = new ArrayList<>();
        for (Entry e : m.entries()) {
            LocalQuota p = pockets.get(e.limit());
            double amount = p == null ? 0 : p.lend(m.book(), now);
            if (amount > 0) {
                loans.add(new Entry(e.limit(), amount));
            }
        }
        if (!loans.isEmpty()) {
            send(from, new QuotaMessage(Kind.LOAN, m.book(), m.number(), 0, loans));
        }
    }

    private void lent(double now, long from, QuotaMessage m) {
        Double called = calls.get(m.number());
        if (m.book() != book || called == null) {
            return; // lent to another, or so late that its time is not known any more
        }
        for (Entry e : m.entries()) {
            AllocationLedger b = books.get(e.limit());
            if (b != null) {
                b.lent(now, from, e.amount(), called);
            }
        }
        dealAtMs = Math.min(dealAtMs, now + GATHER_MS);
    }

    private void granted(double now, long from, QuotaMessage m) {
        Asked asked = asks.get(m.number());
        if (asked == null) {
            return;
        }
        for (Entry e : m.entries()) {
            LocalQuota p = pockets.get(e.limit());
            if (p == null) {
                continue;
            }
            if (m.epoch() > 0 && !guard.accepts(e.limit(), m.epoch())) {
                olderEpochs++;
                continue;
            }
            p.granted(m.book(), e.amount(), m.number(), asked.atMs, now);
            // What it deals itself is no word of others, unless it is the one to deal or others have just lent.
            if (from != me || m.epoch() > 0 || peers.size() < 2 || now - heardMs <= rules.grantMs()) {
                p.word(now);
            }
        }
    }

    // ---- what is told

    public long olderEpochs() {
        return olderEpochs;
    }

    public List<Sight> sights(double now) {
        List<Sight> list = new ArrayList<>();
        pockets.values()
                .forEach(p -> list.add(new Sight(
                        p.limit(),
                        p.mine(now),
                        p.own(now),
                        p.lentOut(now),
                        p.needsNow(now),
                        p.inHand(),
                        p.spent(),
                        p.refusedCount(),
                        p.unheardSince(now))));
        return list;
    }
}
