package cacheproxy.proxy.discovery;

import cacheproxy.discovery.DiscoveryPollScheduler;
import cacheproxy.discovery.SilentWatchDetector;
import cacheproxy.discovery.VersionGossip;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.UpstreamRegistry;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Follows the endpoint list of one pool at the discovery service, and passes each list and each change to the pool's
 * policy. Used on its event loop only.
 */
public final class DiscoveryClient implements EndpointListSource, UpstreamRegistry.Observer {
    private static final double FETCH_TIMEOUT_MS = 4000;
    private static final int ALL_PEERS = -1;

    // Fractions of PolicySettings#maxPollAgeMs, the time after which a proxy has to poll a discovery service that is
    // silent:

    /** The time within which discovery reports that a process has ended. */
    private static final double REPORT_DELAY_FRACTION = 0.35;
    /** The same time if many processes have ended, or if another proxy has the report. */
    private static final double SHORT_REPORT_DELAY_FRACTION = 0.1;
    /**
     * The time over which the proxies spread their announcements of a new version: several times the transit time of a
     * message.
     */
    private static final double ANNOUNCEMENT_SPREAD_FRACTION = 0.03;
    /** The maximum time over which the proxies spread their polls of a discovery service that is silent. */
    private static final double MAX_STAGGER_FRACTION = 0.25;

    private final EventLoopContext context;
    private final DiscoverySource source;
    private final EndpointListConsumer pool;
    private final WatchCoordination coordination;

    private final EndpointListParser parser;
    private final ListVersion version = new ListVersion();
    private final LongPollLoop polls;
    private final SilentWatchMonitor silentWatch;
    /** The connection for the complete lists that the policy fetches. */
    private final DiscoveryConnection fetches;

    private final VersionGossip gossip = new VersionGossip();
    private final double announcementDelayMs;

    /** Creates a client that always long-polls. */
    public DiscoveryClient(EventLoopContext context, DiscoverySource source, EndpointListConsumer pool) {
        this(context, source, pool, WatchCoordination.NONE);
    }

    /** Creates a client that long-polls while the coordination requires it. */
    public DiscoveryClient(
            EventLoopContext context,
            DiscoverySource source,
            EndpointListConsumer pool,
            WatchCoordination coordination) {
        this.context = context;
        this.source = source;
        this.pool = pool;
        this.coordination = coordination;
        parser = new EndpointListParser(source.zones(), source.serverKinds());
        fetches = new DiscoveryConnection(context);
        PolicySettings settings = pool.settings();
        DiscoveryPollScheduler scheduler = new DiscoveryPollScheduler(
                source.onDemand(), settings.instanceCount(), new SplittableRandom(pool.seed()));
        polls = new LongPollLoop(context, scheduler, source.address(), version, this::apply);
        scheduler.setLongPolling(context.nowMs(), shouldLongPoll());
        double maxPollAgeMs = settings.maxPollAgeMs();
        double staggerMs =
                Math.min(maxPollAgeMs * MAX_STAGGER_FRACTION, settings.instanceCount() * settings.connectTimeoutMs());
        double positionInFleet = (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
        SilentWatchDetector detector = new SilentWatchDetector(
                maxPollAgeMs * REPORT_DELAY_FRACTION,
                maxPollAgeMs * SHORT_REPORT_DELAY_FRACTION,
                staggerMs * positionInFleet);
        silentWatch = new SilentWatchMonitor(context, detector, polls);
        announcementDelayMs = maxPollAgeMs * ANNOUNCEMENT_SPREAD_FRACTION * positionInFleet;
    }

    /**
     * Passes the list in the configuration, if any, to the pool, and follows discovery unless that starts on demand of
     * the policy.
     */
    public void start() {
        List<ListedServer> initialServers = List.of();
        if (source.initialList() != null) {
            try {
                initialServers = parser.servers(source.initialList());
                version.reset(parser.version(source.initialList()));
            } catch (RuntimeException e) {
                pool.log("the endpoint list in the configuration can't be used: " + e.getMessage());
            }
        }
        pool.endpointListReceived(EndpointListKind.CACHED, initialServers);
        silentWatch.listReceived(
                version.held(),
                true,
                initialServers.stream().map(ListedServer::endpoint).toList());
        context.addServerObserver(this);
        if (!source.onDemand()) {
            watch(true);
        }
    }

    /**
     * Follows the list at another address of discovery from now on. The old address soon stops responding, so the new
     * one is polled immediately, and for the complete list, because its versions need not continue those of the old
     * address.
     */
    public void moveTo(InetSocketAddress to) {
        if (to.equals(polls.address())) {
            return;
        }
        version.reset(0);
        gossip.reset();
        silentWatch.resetClaims();
        fetches.close();
        polls.moveTo(to);
    }

    @Override
    public void watch(boolean enabled) {
        polls.setFollowing(enabled, shouldLongPoll());
    }

    private boolean shouldLongPoll() {
        return coordination.shouldLongPoll();
    }

    /**
     * Polls immediately, because a newer list exists. A long poll in flight should have delivered that list and is
     * replaced.
     */
    public void pollNow() {
        polls.pollNow();
    }

    /** Starts long-polling, or leaves it to another proxy. */
    public void setLongPolling(boolean enabled) {
        polls.setLongPolling(enabled);
    }

    @Override
    public void close() {
        polls.close();
        context.servers().removeObserver(this);
        fetches.close();
    }

    @Override
    public void fetch() {
        if (!polls.isClosed()) {
            fetches.get(polls.address(), "/discovery/hosts", FETCH_TIMEOUT_MS, this::listFetched);
        }
    }

    private void listFetched(DiscoveryResponse response) {
        try {
            apply(response.body());
        } catch (RuntimeException e) {
            pool.log("discovery: " + e.getMessage());
            pool.endpointListReceived(EndpointListKind.FAILED, List.of());
        }
    }

    /**
     * Applies a complete list or changes to the list.
     *
     * @throws RuntimeException if it is invalid or older than the list held, which then stays unchanged
     */
    private void apply(JsonObject list) {
        EndpointListUpdate update = parser.parse(list);
        if (version.accept(update)) {
            gossip.versionChanged();
            context.after(announcementDelayMs, this::announceVersion);
        }
        coordination.listReceived(update.version());
        silentWatch.listReceived(update.version(), update.complete(), update.endpoints());
        pool.endpointListReceived(
                update.complete() ? EndpointListKind.FULL : EndpointListKind.CHANGES, update.servers());
    }

    private void announceVersion() {
        byte[] message = polls.isClosed() ? null : gossip.takeMessage(version.held());
        if (message != null) {
            pool.sendToPeer(ALL_PEERS, message);
        }
    }

    /**
     * Handles a version message from the proxy with this number; {@link VersionGossip#isVersionMessage} must accept it.
     */
    public void versionAnnounced(int peer, byte[] message) {
        long announced = VersionGossip.decodeVersion(message);
        gossip.received(peer, announced);
        if (announced > version.held()) {
            silentWatch.versionClaimed(announced);
        }
    }

    @Override
    public void connectionRefused(int server) {
        silentWatch.connectionRefused(server);
    }

    @Override
    public void connectionAccepted(int server) {
        silentWatch.connected(server);
    }
}
