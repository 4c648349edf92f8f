package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.config.FleetConfig;
import cacheproxy.fleet.lease.NameHash;
import cacheproxy.fleet.lease.ServerReachability;
import cacheproxy.fleet.peer.PeerListRelation;
import cacheproxy.fleet.peer.PeerListTransition;
import com.google.gson.JsonObject;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reports to one peer each second this proxy's peer list and whether it reaches servers, warns operators of peers with
 * a different list, and decides whether this proxy may hold leases: a proxy that reaches no server while others do may
 * not.
 */
final class PeerListMonitor implements FleetProtocol {
    static final byte TOPIC = 4;
    /** A payload consists of a report on the peer list and a byte that is 1 if the sender reaches a server. */
    private static final int PAYLOAD_BYTES = PeerListTransition.MESSAGE_BYTES + 1;

    private static final int REACHES_SERVERS_OFFSET = PeerListTransition.MESSAGE_BYTES;
    private static final double REPORT_INTERVAL_MS = 1000;
    /** After this time without a healthy server, this proxy is regarded as reaching none. */
    private static final double UNREACHABLE_AFTER_MS = 3000;
    /** How long a peer's report that it reaches servers is valid. */
    private static final double REACHABILITY_EXPIRY_MS = 10_000;
    /** Delay of the warning, as lists may differ while the proxies adopt a new configuration one after another. */
    private static final double WARN_AFTER_MS = 10_000;

    private final FleetContext context;
    private final ServerReachability reachability;
    private final PeerListTransition listTransition = new PeerListTransition();
    private final Map<Long, String> names = new LinkedHashMap<>();
    private final Map<Long, Double> differentSinceMs = new LinkedHashMap<>();
    private final Set<Long> warnedPeers = new HashSet<>();
    private List<Long> otherPeers = List.of();
    private int nextReceiver;
    private double nextReportMs = Double.NEGATIVE_INFINITY;

    PeerListMonitor(FleetContext context) {
        this.context = context;
        reachability = new ServerReachability(context.nowMs(), UNREACHABLE_AFTER_MS, REACHABILITY_EXPIRY_MS);
    }

    @Override
    public byte topic() {
        return TOPIC;
    }

    @Override
    public void apply(DaemonConfig file, double nowMs) {
        FleetConfig config = file.section(FleetConfig.class);
        names.clear();
        config.peers().forEach(peer -> names.put(NameHash.of(peer.name()), peer.name()));
        otherPeers = new ArrayList<>(names.keySet());
        otherPeers.remove(context.link().ownId());
        listTransition.update(
                Set.copyOf(config.peerNames()), Set.copyOf(config.previousPeerNames()), Set.copyOf(otherPeers));
        differentSinceMs.clear();
        warnedPeers.clear();
    }

    @Override
    public void receive(double nowMs, long from, byte[] payload) {
        if (payload.length != PAYLOAD_BYTES) {
            return;
        }
        if (payload[REACHES_SERVERS_OFFSET] == 1) {
            reachability.recordRemoteReport(nowMs);
        }
        listTransition.receive(nowMs, from, Arrays.copyOf(payload, PeerListTransition.MESSAGE_BYTES));
        if (listTransition.relationOf(from, nowMs) == PeerListRelation.DIFFERENT) {
            warnOfDifferentList(nowMs, from);
        } else {
            differentSinceMs.remove(from);
            warnedPeers.remove(from);
        }
    }

    private void warnOfDifferentList(double nowMs, long peer) {
        double sinceMs = differentSinceMs.computeIfAbsent(peer, newPeer -> nowMs);
        if (nowMs - sinceMs > WARN_AFTER_MS && warnedPeers.add(peer)) {
            context.core()
                    .log("fleet: " + names.get(peer)
                            + " goes by another list of peers, more than one step apart from this proxy's; a duty can"
                            + " have two holders. Give all proxies the same [[fleet.peer]]");
        }
    }

    @Override
    public double tick(double nowMs) {
        if (nowMs >= nextReportMs) {
            nextReportMs = nowMs + REPORT_INTERVAL_MS;
            boolean reachesServers = !context.isConfigured()
                    || context.pools().stream().anyMatch(pool -> pool.dispatcher.hasHealthyCacheServer());
            if (reachesServers) {
                reachability.recordLocalSuccess(nowMs);
            }
            sendReport(reachesServers);
        }
        return nextReportMs;
    }

    private void sendReport(boolean reachesServers) {
        if (otherPeers.isEmpty()) {
            return;
        }
        byte[] payload = Arrays.copyOf(listTransition.encodeReport(), PAYLOAD_BYTES);
        payload[REACHES_SERVERS_OFFSET] = (byte) (reachesServers ? 1 : 0);
        context.link().send(otherPeers.get(nextReceiver++ % otherPeers.size()), this, payload);
    }

    /** Returns whether this proxy reaches servers, or no proxy does. */
    boolean mayHoldLeases(double nowMs) {
        return reachability.isEligible(nowMs);
    }

    @Override
    public void describe(JsonObject state) {
        JsonObject relations = new JsonObject();
        otherPeers.forEach(peer -> relations.addProperty(
                names.get(peer),
                listTransition.relationOf(peer, context.nowMs()).jsonName()));
        state.add("lists", relations);
    }
}
