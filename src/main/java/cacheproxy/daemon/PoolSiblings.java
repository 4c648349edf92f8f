package cacheproxy.daemon;

import cacheproxy.config.SiblingConfig;
import cacheproxy.policy.AttemptOutcome;
import cacheproxy.policy.Endpoint;
import cacheproxy.proxy.dispatch.SiblingQueries;
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
 * The siblings of one pool: provides the policy with information about them and passes its queries on to the socket. On
 * the event loop only.
 */
final class PoolSiblings implements Siblings, SiblingQueries {
    private final SiblingSocket socket;
    private final List<SiblingConfig> siblings;
    private final List<SiblingStats> stats = new ArrayList<>();
    private final Map<Integer, Integer> indexById = new HashMap<>();
    private final SplittableRandom random;
    /** Moving average of the duration of a fetch from a sibling, in milliseconds; starts from an estimate. */
    private double averageFetchMs = 5;

    private SiblingQueryPolicy.Plan plan;

    PoolSiblings(SiblingSocket socket, List<SiblingConfig> siblings, SplittableRandom random) {
        this.socket = socket;
        this.siblings = siblings;
        this.random = random;
        for (SiblingConfig sibling : siblings) {
            indexById.put(sibling.id(), stats.size());
            stats.add(socket.stats(sibling));
        }
    }

    @Override
    public boolean isSibling(Endpoint member) {
        return !siblings.isEmpty() && indexById.containsKey(member.id());
    }

    @Override
    public double waitMs(double nowMs, double fetchMs, double leftMs, double pressure) {
        plan = SiblingQueryPolicy.plan(nowMs, stats, fetchMs, averageFetchMs, leftMs, pressure, random.nextDouble());
        return plan.waitMs();
    }

    @Override
    public void recordFetch(double nowMs, int sibling, AttemptOutcome outcome, double elapsedMs) {
        if (outcome == AttemptOutcome.CANCELLED || outcome == AttemptOutcome.NOT_SENT) {
            return; // says nothing about the sibling
        }
        stats.get(indexById.get(sibling)).recordFetch(outcome == AttemptOutcome.OK);
        if (outcome == AttemptOutcome.OK) {
            averageFetchMs += (elapsedMs - averageFetchMs) / 8;
        }
    }

    /** Called through the policy, right after {@link #waitMs} has made the plan. */
    @Override
    public void query(String key, double waitMs, IntConsumer response) {
        List<SiblingConfig> queried = new ArrayList<>();
        plan.siblings().forEach(index -> queried.add(siblings.get(index)));
        socket.query(key, queried, waitMs, response);
    }

    @Override
    public String siblingClass(int server) {
        Integer index = siblings.isEmpty() ? null : indexById.get(server);
        return index == null ? null : siblings.get(index).className();
    }

    @Override
    public void readCompleted(String key, int server, boolean found) {
        if (!indexById.containsKey(server)) {
            socket.readCompleted(key, server, found);
        }
    }

    @Override
    public void writeCompleted(String key) {
        socket.writeCompleted(key);
    }
}
