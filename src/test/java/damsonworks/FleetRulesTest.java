package damsonworks;

import static org.assertj.core.api.Assertions.assertThat;

import damsonworks.RoutingApi.AttemptEnd;
import damsonworks.RoutingApi.ListKind;
import damsonworks.RoutingApi.Member;
import damsonworks.RoutingApi.Outcome;
import damsonworks.RoutingApi.Request;
import damsonworks.RoutingApi.Settings;
import damsonworks.RoutingApi.State;
import damsonworks.placement.CarpPlacement;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Many instances of the module on one virtual clock, before nodes that they share. No instance sees the sums, so the rules
 * are judged by what arrives. Load is 0.68 of what all nodes can do, clients make up to three tries, and the slowest warm-up
 * that the settings allow is taken.
 */
class FleetRulesTest {
    private static final double WORK_MS = 50;
    private static final double END_MS = 24_000;
    private static final double TROUBLE_MS = 4000;
    private static final Settings CFG = Rig.withoutProbes(Rig.settings(true, false, true, RoutingApi.Group.ALL));

    /** What a day does at {@link #TROUBLE_MS}. */
    private enum Day { RELEASE, ZONE_LOST_IN_SILENCE, MOST_PROXIES_KILLED, HOT_KEY_AT_A_COLD_NODE, HOT_KEY_AND_NO_KILL, ALL_OF_THEM }

    @ParameterizedTest
    @CsvSource({"14, 60, RELEASE", "14, 60, ZONE_LOST_IN_SILENCE", "14, 60, MOST_PROXIES_KILLED", "14, 60, ALL_OF_THEM",
        "1, 8, ALL_OF_THEM", "72, 140, RELEASE", "100, 200, RELEASE", "72, 140, HOT_KEY_AT_A_COLD_NODE", "72, 140, ALL_OF_THEM",
        "100, 200, HOT_KEY_AT_A_COLD_NODE",
        "100, 200, HOT_KEY_AND_NO_KILL", "6, 35, HOT_KEY_AND_NO_KILL",
        "6, 35, HOT_KEY_AT_A_COLD_NODE", "14, 60, HOT_KEY_AT_A_COLD_NODE"})
    void noColdNodeIsPushedOverNoUnsafeWriteRunsTwiceAndAllIsAnswered(int proxies, int nodes, Day day) {
        for (int seed = 1; seed <= 3; seed++) {
            Fleet fleet = new Fleet(proxies, nodes, day, seed);
            fleet.play();
            assertThat(fleet.coldSends).as("requests that cold nodes were sent").isGreaterThan(nodes / 4);
            assertThat(fleet.worstCold).as("work sent to a cold node, by what it could do").isLessThan(CFG.tipMultiple());
            assertThat(fleet.worstUnsafe).isEqualTo(1);
            assertThat(fleet.unanswered()).isZero();
            assertThat(fleet.served).isGreaterThan(fleet.asked / 2);
        }
    }

    private record Event(double at, long order, Runnable run) { }

    /** A request that a cold node was sent, and whether by one who was told of its start. */
    private record Sent(double at, boolean told) { }

    private static final class Node {
        final int id;
        final double speed;
        final Set<Long> kept = new HashSet<>();
        final List<Sent> sentCold = new ArrayList<>();
        double bornMs;
        double busyUntil;
        boolean gone;

        Node(int id, double bornMs) {
            this.id = id;
            this.bornMs = bornMs;
            speed = id % 5 < 3 ? 1.8 : 0.88;
        }

        /** The part of its full capacity that it has. */
        double part(double now) {
            return bornMs == 0 ? 1 : Math.min(1, CFG.startCapacity() + (1 - CFG.startCapacity()) * (now - bornMs) / CFG.warmUpMs());
        }
    }

    /** A client's request with its tries. */
    private record Ask(long key, boolean write, int tries) { }

    private static final class Fleet {
        final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingDouble(Event::at).thenComparing(Event::order));
        final SplittableRandom random;
        final Map<Integer, Node> nodes = new HashMap<>();
        final Proxy[] proxies;
        final Day day;
        final int size;
        final double capacity;
        double now = 1e6;
        final double start = now;
        long order;
        int nextRequest;
        double originBusyUntil;
        long hotKey;
        int asked;
        int served;
        int coldSends;
        int fetches;
        double worstCold;
        int worstUnsafe;

        Fleet(int proxies, int size, Day day, long seed) {
            random = new SplittableRandom(seed);
            this.size = size;
            this.day = day;
            this.proxies = new Proxy[proxies];
            double sum = 0;
            for (int id = 1; id <= size; id++) {
                Node n = new Node(id, 0);
                nodes.put(id, n);
                sum += n.speed;
            }
            capacity = sum;
            for (int p = 0; p < proxies; p++) {
                this.proxies[p] = new Proxy(p);
                this.proxies[p].list(ListKind.CACHED, nodes.values());
            }
        }

        void after(double ms, Runnable run) {
            events.add(new Event(now + ms, order++, run));
        }

        void play() {
            after(0, this::arrive);
            after(TROUBLE_MS, this::trouble);
            while (!events.isEmpty()) {
                Event e = events.poll();
                now = e.at();
                e.run().run();
            }
            nodes.values().forEach(this::judge);
        }

        private void arrive() {
            asked++;
            ask(new Ask(key(), random.nextInt(40) == 0, 0));
            if (now < start + END_MS) {
                after(-Math.log(1 - random.nextDouble()) * WORK_MS / (0.68 * capacity), this::arrive);
            }
        }

        /** Ranks r of 20,000 keys with 1 / (r + 1.5) to the power of 1.15, the middle of what the first users have. */
        private long key() {
            if (hotKey != 0 && random.nextDouble() < 0.25) {
                return hotKey;
            }
            double u = random.nextDouble();
            return 1000 + (long) Math.pow((1 - u) * Math.pow(2.5, -0.15) + u * Math.pow(20_000, -0.15), -1 / 0.15);
        }

        private void ask(Ask a) {
            List<Proxy> up = new ArrayList<>(List.of(proxies));
            up.removeIf(p -> p.dead);
            up.get(random.nextInt(up.size())).take(a);
        }

        private void again(Ask a) {
            if (a.tries() < 2) {
                after(10 + random.nextDouble() * 70, () -> ask(new Ask(a.key(), a.write(), a.tries() + 1)));
            }
        }

        int unanswered() {
            int n = 0;
            for (Proxy p : proxies) {
                n += p.open.size();
            }
            return n;
        }

        private void trouble() {
            if (day == Day.RELEASE || day == Day.ALL_OF_THEM) { // six in ten, in two waves
                for (int wave = 0; wave < 2; wave++) {
                    int from = 1 + wave * size * 3 / 10;
                    after(wave * 4000, () -> replace(from, from + size * 3 / 10));
                }
            }
            if (day == Day.ZONE_LOST_IN_SILENCE || day == Day.ALL_OF_THEM) {
                List<Node> lost = nodes.values().stream().filter(n -> n.id > size * 3 / 4 && n.id <= size).toList();
                lost.forEach(n -> n.gone = true);
                after(5000, () -> {
                    lost.forEach(n -> {
                        n.gone = false;
                        n.bornMs = now;
                        n.busyUntil = 0;
                        n.kept.clear();
                    });
                    tell(lost);
                });
            }
            if (day == Day.HOT_KEY_AND_NO_KILL) {
                replace(size * 6 / 10 + 1, size * 7 / 10);
                after(3500, () -> hotKey = keyOfAColdNode()); // all have been told
            }
            if (proxies.length > 1 && (day == Day.MOST_PROXIES_KILLED || day == Day.HOT_KEY_AT_A_COLD_NODE || day == Day.ALL_OF_THEM)) {
                for (int p = 0; p < proxies.length * 6 / 10; p++) {
                    int me = p;
                    proxies[p].dead = true;
                    after(1500 + random.nextDouble() * 500, () -> {
                        proxies[me] = new Proxy(me);
                        proxies[me].list(ListKind.CACHED, nodes.values());
                    });
                }
                // Cold from before the herd, so that proxies that know nothing yet meet cold nodes.
                replace(size * 6 / 10 + 1, size * 7 / 10);
                if (day == Day.HOT_KEY_AT_A_COLD_NODE) {
                    after(1700, () -> hotKey = keyOfAColdNode());
                }
            }
        }

        /** A cold node's own, of those that each proxy would let it have if they chose by a number that is the same at all. */
        private long keyOfAColdNode() {
            List<Member> members = new ArrayList<>();
            nodes.values().stream().filter(n -> !nodes.containsKey(n.id + 1000)).sorted(Comparator.comparingInt(n -> n.id))
                    .forEach(n -> members.add(new Member(n.id, 0, 0, 0, State.READY, 1, n.bornMs)));
            CarpPlacement placement = new CarpPlacement(members);
            int[] top = new int[1];
            for (long key = 1_000_000;; key++) {
                placement.top(key, Carp.keyHash(key), 1, top);
                Member m = members.get(top[0]);
                if (m.bornMs() > 0 && lot(Carp.keyHash(key), Carp.memberHash(m.id())) < 0.01) {
                    return key;
                }
            }
        }

        private static double lot(int keyHash, int memberHash) {
            int h = keyHash * 0x9E3779B1 + memberHash;
            h = (h ^ (h >>> 16)) * 0x85EBCA6B;
            h = (h ^ (h >>> 13)) * 0xC2B2AE35;
            return Integer.toUnsignedLong(h ^ (h >>> 16)) / 4294967296.0;
        }

        private void replace(int from, int to) {
            List<Node> changed = new ArrayList<>();
            for (int id = from; id < to; id++) {
                Node n = new Node(id + 1000, now);
                nodes.put(n.id, n);
                changed.add(n);
                Node old = nodes.get(id);
                if (old != null) {
                    changed.add(old);
                    after(5000, () -> old.gone = true);
                }
            }
            tell(changed);
        }

        /** Each hears at its own time; one in four hears late, as its watch is silent. */
        private void tell(List<Node> changed) {
            for (int p = 0; p < proxies.length; p++) {
                int me = p;
                after(random.nextInt(4) == 0 ? 6000 : 700 + random.nextDouble() * 2400, () -> {
                    if (!proxies[me].dead) {
                        proxies[me].list(ListKind.CHANGES, changed);
                    }
                });
            }
        }

        /** The most work sent within the rule's span, by what the node could do in it, where those who were told of its start sent most. */
        private void judge(Node n) {
            int first = 0;
            int told = 0;
            for (int last = 0; last < n.sentCold.size(); last++) {
                double to = n.sentCold.get(last).at();
                told += n.sentCold.get(last).told() ? 1 : 0;
                for (; n.sentCold.get(first).at() < to - CFG.fallMs(); first++) {
                    told -= n.sentCold.get(first).told() ? 1 : 0;
                }
                double can = n.speed * n.part(Math.max(n.bornMs, to - CFG.fallMs() / 2)) * CFG.fallMs();
                if (told >= (last - first + 1) * 2 / 3.0) {
                    worstCold = Math.max(worstCold, (last - first + 1) * WORK_MS / can);
                }
            }
            coldSends += n.sentCold.size();
        }

        private final class Proxy implements RoutingApi.Actions {
            final Policy policy;
            final Map<Integer, Ask> open = new HashMap<>();
            final Map<Integer, boolean[]> attempts = new HashMap<>();
            final Map<Integer, Integer> ran = new HashMap<>();
            final Map<Integer, Double> bornAsTold = new HashMap<>();
            boolean dead;

            Proxy(int me) {
                policy = new Policy(CFG, random.nextLong());
            }

            /** Under its id + 1000 a node has a successor, and drains. */
            void list(ListKind kind, Iterable<Node> of) {
                List<Member> members = new ArrayList<>();
                for (Node n : of) {
                    bornAsTold.put(n.id, n.bornMs);
                    boolean drains = nodes.containsKey(n.id + 1000);
                    members.add(new Member(n.id, 0, 0, 0, drains ? State.DRAINING : State.READY, 1, n.bornMs));
                }
                if (kind == ListKind.CACHED) {
                    members.add(Rig.member(Rig.ORIGIN, State.READY, 0));
                }
                policy.onList(now, kind, members, this);
            }

            void take(Ask a) {
                int id = ++nextRequest;
                open.put(id, a);
                attempts.put(id, new boolean[CFG.maxAttempts()]);
                policy.onRequest(now, new Request(id, a.write() ? Rig.UNSAFE : Rig.SAFE, 0, a.key(), now + 650, Double.NaN, 0,
                        a.write(), a.tries() > 0), this);
                after(650, () -> { // the proxy's own end of what is still out
                    for (int i = 0; !dead && attempts.containsKey(id) && i < CFG.maxAttempts(); i++) {
                        if (attempts.get(id)[i]) {
                            end(id, i, serverOf.get(id * 4L + i), Outcome.TIMEOUT, 650);
                        }
                    }
                });
            }

            final Map<Long, Integer> serverOf = new HashMap<>();
            final Map<Integer, Integer> counts = new HashMap<>();

            @Override
            public void place(int request, int server, double timeoutMs) {
                int attempt = counts.merge(request, 1, Integer::sum) - 1;
                attempts.get(request)[attempt] = true;
                serverOf.put(request * 4L + attempt, server);
                Ask a = open.get(request);
                if (server == Rig.ORIGIN) {
                    origin(request, attempt, a);
                    return;
                }
                Node n = nodes.get(server);
                if (n.part(now) < 1) {
                    n.sentCold.add(new Sent(now, bornAsTold.get(n.id) == n.bornMs));
                }
                if (n.gone) {
                    if (n.id <= size * 3 / 4) { // one that ended refuses; one of the lost zone is silent
                        later(4, request, attempt, server, Outcome.CONNECT_FAILED);
                    } else {
                        later(CFG.connectTimeoutMs(), request, attempt, server, Outcome.CONNECT_FAILED);
                    }
                    return;
                }
                double work = WORK_MS * (0.5 + random.nextDouble()) / n.speed / n.part(now);
                boolean hit = n.kept.contains(a.key());
                if (nodes.containsKey(n.id + 1000) || n.busyUntil > now + 3 * WORK_MS / n.speed) {
                    later(4, request, attempt, server, Outcome.FULL);
                    return;
                }
                n.busyUntil = Math.max(now, n.busyUntil) + (hit ? work : work / 5);
                later(n.busyUntil - now + 4, request, attempt, server, hit ? Outcome.OK : Outcome.MISS);
                if (!hit) {
                    missedAt.put(request, n);
                }
            }

            final Map<Integer, Node> missedAt = new HashMap<>();

            /** Takes a third of all reads at the most. */
            private void origin(int request, int attempt, Ask a) {
                fetches++;
                double each = WORK_MS / (0.68 * capacity / 3);
                if (originBusyUntil > now + 400) {
                    later(4, request, attempt, Rig.ORIGIN, Outcome.FULL);
                    return;
                }
                if (a.write()) {
                    worstUnsafe = Math.max(worstUnsafe, ran.merge(request, 1, Integer::sum));
                }
                originBusyUntil = Math.max(now, originBusyUntil) + each;
                Node missed = missedAt.get(request);
                after(originBusyUntil - now + 30, () -> {
                    if (missed != null) {
                        missed.kept.add(a.key());
                    }
                    end(request, attempt, Rig.ORIGIN, Outcome.OK, 30);
                });
            }

            private void later(double ms, int request, int attempt, int server, Outcome outcome) {
                double sent = now;
                after(ms, () -> end(request, attempt, server, outcome, now - sent));
            }

            private void end(int request, int attempt, int server, Outcome outcome, double elapsed) {
                boolean[] out = attempts.get(request);
                if (dead || !out[attempt]) {
                    return;
                }
                out[attempt] = false;
                boolean first = outcome == Outcome.OK && open.remove(request) != null;
                served += first ? 1 : 0;
                policy.onAttemptEnd(now, new AttemptEnd(request, attempt, server, outcome, elapsed, !open.containsKey(request), 0,
                        null), this);
            }

            @Override
            public void deny(int request, double retryAfterMs) {
                Ask a = open.remove(request);
                if (a != null) {
                    again(a);
                }
            }

            @Override
            public void fail(int request) {
                Ask a = open.remove(request);
                if (a != null && !a.write()) {
                    again(a);
                }
            }

            @Override
            public void cancel(int request, int attempt) {
                after(0, () -> end(request, attempt, serverOf.get(request * 4L + attempt), Outcome.CANCELLED, 0));
            }

            @Override
            public void setTimer(double afterMs, int token) {
                after(afterMs, () -> {
                    if (!dead) {
                        policy.onTimer(now, token, this);
                    }
                });
            }

            @Override
            public void probe(int server) { }

            @Override
            public void closeIdle(int server) { }

            @Override
            public void tell(int peer, byte[] message) { }

            @Override
            public void watch(boolean on) { }

            @Override
            public void fetchList() { }

            @Override
            public void log(String line) {
                throw new AssertionError(line);
            }
        }
    }
}
