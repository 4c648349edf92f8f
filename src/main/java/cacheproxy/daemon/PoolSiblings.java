package cacheproxy.daemon;

import cacheproxy.config.SiblingConfig;
import cacheproxy.policy.PolicyApi.Member;
import cacheproxy.policy.PolicyApi.Outcome;
import cacheproxy.proxy.Dispatcher;
import cacheproxy.siblings.SiblingQueryPolicy;
import cacheproxy.siblings.SiblingStats;
import cacheproxy.siblings.Siblings;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.IntConsumer;

/**
 * One pool's siblings: what its module is told of them, and its questions on their way to the socket. On the event loop
 * only.
 */
final class PoolSiblings implements Siblings, Dispatcher.Questions {
    private final SiblingSocket socket;
    private final List<SiblingConfig> siblings;
    private final List<SiblingStats> records = new ArrayList<>();
    private final Map<Integer, Integer> indexById = new HashMap<>();
    private final SplittableRandom random;
    /** What a fetch at a sibling takes; the first guess is soon overruled. */
    private double siblingMs = 5;

    private SiblingQueryPolicy.Plan plan;

    PoolSiblings(SiblingSocket socket, List<SiblingConfig> siblings, SplittableRandom random) {
        this.socket = socket;
        this.siblings = siblings;
        this.random = random;
        for (SiblingConfig s : siblings) {
            indexById.put(s.id(), records.size());
            records.add(socket.record(s));
        }
    }

    @Override
    public boolean is(Member member) {
        return !siblings.isEmpty() && indexById.containsKey(member.id());
    }

    @Override
    public double waitMs(double now, double fetchMs, double leftMs, double pressure) {
        plan = SiblingQueryPolicy.plan(now, records, fetchMs, siblingMs, leftMs, pressure, random.nextDouble());
        return plan.waitMs();
    }

    @Override
    public void fetched(double now, int sibling, Outcome outcome, double elapsedMs) {
        if (outcome == Outcome.CANCELLED || outcome == Outcome.NOT_SENT) {
            return; // says nothing of the sibling
        }
        records.get(indexById.get(sibling)).fetched(outcome == Outcome.OK);
        if (outcome == Outcome.OK) {
            siblingMs += (elapsedMs - siblingMs) / 8;
        }
    }

    /** Called by way of the module, right after it was told how long to wait. */
    @Override
    public void ask(String key, double waitMs, IntConsumer answer) {
        List<SiblingConfig> whom = new ArrayList<>();
        plan.siblings().forEach(i -> whom.add(siblings.get(i)));
        socket.ask(key, whom, waitMs, answer);
    }

    @Override
    public String classAt(int server) {
        Integer i = siblings.isEmpty() ? null : indexById.get(server);
        return i == null ? null : siblings.get(i).className();
    }

    @Override
    public void read(String key, int server, boolean has) {
        if (!indexById.containsKey(server)) {
            socket.read(key, server, has);
        }
    }

    @Override
    public void written(String key) {
        socket.written(key);
    }
}
