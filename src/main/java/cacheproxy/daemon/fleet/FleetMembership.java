package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.membership.MemberStatus;
import cacheproxy.fleet.membership.SwimMembership;
import cacheproxy.fleet.membership.SwimMessage;
import cacheproxy.fleet.membership.SwimTiming;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.SplittableRandom;

/** Transports the messages of {@link SwimMembership} between the proxies of a fleet. */
final class FleetMembership implements FleetProtocol {
    static final byte TOPIC = 6;

    private final SwimMembership membership;
    private boolean enabled;

    FleetMembership(FleetContext context, SplittableRandom random) {
        PeerLink link = context.link();
        membership = new SwimMembership(
                link.ownId(),
                SwimTiming.DEFAULT,
                random,
                context.nowMs(),
                (to, message) -> link.send(to, this, message.encode()));
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    /** Enables membership only if there are quotas, as nothing else uses it. */
    @Override
    public void apply(DaemonConfig file, double nowMs) {
        FleetConfig config = file.section(FleetConfig.class);
        enabled = !config.quotas().quotas().isEmpty();
        membership.updateMembers(
                config.peers().stream().map(peer -> NameHash.of(peer.name())).toList(), nowMs);
    }

    /** Returns whether a peer may be alive; always true if membership is not enabled. */
    boolean isLikelyAlive(long peer) {
        return !enabled || membership.statusOf(peer) == MemberStatus.ALIVE;
    }

    @Override
    public void receive(double nowMs, long from, byte[] payload) {
        SwimMessage message = SwimMessage.decode(payload);
        if (message != null) {
            membership.receive(nowMs, from, message);
        }
    }

    @Override
    public double tick(double nowMs) {
        return enabled ? membership.tick(nowMs) : Double.POSITIVE_INFINITY;
    }

    @Override
    public void describe(JsonObject state) {
        if (!enabled) {
            return;
        }
        state.addProperty("doubts_itself", membership.localHealthScore());
        for (JsonElement element : state.getAsJsonArray("peers")) {
            JsonObject peer = element.getAsJsonObject();
            MemberStatus status =
                    membership.statusOf(NameHash.of(peer.get("name").getAsString()));
            peer.addProperty("standing", status.jsonName());
        }
    }
}
