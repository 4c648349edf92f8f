package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.membership.MemberStatus;
import cacheproxy.fleet.membership.SwimMembership;
import cacheproxy.fleet.membership.SwimMessage;
import cacheproxy.fleet.membership.SwimTiming;
import cacheproxy.proxy.EventLoopContext;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.util.SplittableRandom;

/** Carries what {@link SwimMembership} decides between the proxies of a fleet. On the event loop only. */
final class FleetMembership implements FleetProtocol {
    static final byte TOPIC = 6;

    private final EventLoopContext core;
    private final SwimMembership members;
    private boolean on;

    FleetMembership(EventLoopContext core, PeerLink link, SplittableRandom random) {
        this.core = core;
        members = new SwimMembership(
                link.ownId(), SwimTiming.DEFAULT, random, core.now(), (to, m) -> link.send(to, this, m.bytes()));
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    /** Only what uses it pays for it. */
    @Override
    public void apply(DaemonConfig file, double now) {
        FleetConfig spec = file.part(FleetConfig.class);
        on = !spec.limits().limits().isEmpty();
        members.updateMembers(
                spec.peers().stream().map(p -> NameHash.of(p.name())).toList(), now);
    }

    /** Whether a peer may be there; where nobody looks all may. */
    boolean isLikelyAlive(long peer) {
        return !on || members.statusOf(peer) == MemberStatus.ALIVE;
    }

    @Override
    public void receive(double now, long from, byte[] payload) {
        SwimMessage m = SwimMessage.of(payload);
        if (m != null) {
            members.receive(now, from, m);
        }
    }

    @Override
    public double tick(double now) {
        return on ? members.tick(now) : Double.POSITIVE_INFINITY;
    }

    @Override
    public void describe(JsonObject state) {
        if (!on) {
            return;
        }
        state.addProperty("doubts_itself", members.localHealthScore());
        for (JsonElement e : state.getAsJsonArray("peers")) {
            JsonObject p = e.getAsJsonObject();
            p.addProperty(
                    "standing",
                    members.statusOf(NameHash.of(p.get("name").getAsString())).jsonName());
        }
    }
}
