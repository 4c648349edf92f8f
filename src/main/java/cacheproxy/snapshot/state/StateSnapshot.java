package cacheproxy.snapshot.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * All that one proxy remembers, and what of it still fits: a fact about a server holds for the same process at the same
 * address, a fact about keys for the same placement, all of it for the same proxy. Pure.
 *
 * @param site name of the installation
 * @param me the proxy's number in its tier
 * @param writtenMs Unix time of telling
 * @param generation counts the writings of one proxy, from 1
 * @param births when servers started that no list tells of
 */
public record StateSnapshot(
        String site, int me, double writtenMs, long generation, Map<String, Pool> pools, List<Birth> births) {
    /** Clocks of one machine agree better than this. */
    static final double FUTURE_MS = 1000;
    /** Starts longer ago than this say nothing: no server is cold for so long. */
    static final double BIRTH_MS = 3_600_000;
    /**
     * Where more of the servers failed than this, the fault lay with the proxy or its network: nothing is said of
     * servers.
     */
    static final double MOST_FAILING = 0.7;

    /**
     * What a pool's module learned.
     *
     * @param placement what the numbers of its keys depend on
     * @param addresses where the servers stood that something is said of, by id; a missing one is not known
     */
    public record Pool(String placement, LearnedState knowledge, Map<Integer, String> addresses) {}

    /**
     * A server's start, in Unix time.
     *
     * @param down whether it refused connections when this was told: what answers there now has started since
     */
    public record Birth(int id, String address, double bornMs, boolean down) {}

    /** A server as it is now. */
    public record Present(int id, String address, double bornMs) {}

    /**
     * Why nothing of it may be used by this proxy now; null: it may. {@code another}: it is given as another proxy's.
     */
    public String unfit(String ofSite, int ofMe, double now, boolean another) {
        if (!site.equals(ofSite)) {
            return "it is of the site " + site + ", not " + ofSite;
        }
        if (!another && me != ofMe) {
            return "it is of proxy " + me + ", not " + ofMe + "; a sibling's may be given with --seed-from";
        }
        if (writtenMs > now + FUTURE_MS) {
            return "it was written " + Math.round((writtenMs - now) / 1000) + " s from now; the clock was set back";
        }
        return null;
    }

    /**
     * What is left for a pool.
     *
     * @param servers those on its list
     * @param trust 1 for one's own, less for another's
     */
    public LearnedState left(String pool, String placement, double now, double trust, List<Present> servers) {
        Pool p = pools.get(pool);
        if (p == null) {
            return LearnedState.NONE;
        }
        Map<Integer, Present> present = new HashMap<>();
        servers.forEach(s -> present.put(s.id(), s));
        List<LearnedState.Server> fitting = new ArrayList<>();
        for (LearnedState.Server s : p.knowledge().servers()) {
            Present at = present.get(s.id());
            String address = p.addresses().get(s.id());
            if (at != null && at.bornMs() == s.bornMs() && (address == null || address.equals(at.address()))) {
                fitting.add(s);
            }
        }
        if (fitting.stream().filter(s -> s.failures() > 0).count() > MOST_FAILING * servers.size()) {
            fitting.clear();
        }
        LearnedState k = p.knowledge();
        return StateDecay.aged(
                new LearnedState(
                        fitting,
                        k.pace(),
                        k.fetches(),
                        k.crowd(),
                        p.placement().equals(placement) ? k.hot() : LearnedState.NONE.hot()),
                Math.max(0, now - writtenMs),
                trust);
    }

    /** Starts that still matter, where the servers stand as they stood. */
    public List<Birth> births(double now, Map<Integer, String> addresses) {
        return births.stream()
                .filter(b -> now - writtenMs < BIRTH_MS && b.address().equals(addresses.get(b.id())))
                .toList();
    }
}
