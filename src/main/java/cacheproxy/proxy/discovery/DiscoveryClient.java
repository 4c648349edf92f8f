package cacheproxy.proxy.discovery;

import cacheproxy.discovery.DiscoveryPollScheduler;
import cacheproxy.discovery.SilentWatchDetector;
import cacheproxy.discovery.VersionGossip;
import cacheproxy.policy.Endpoint;
import cacheproxy.policy.EndpointListKind;
import cacheproxy.policy.PolicySettings;
import cacheproxy.proxy.process.PlatformConfig;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.proxy.upstream.UpstreamRegistry;
import com.google.gson.JsonObject;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Follows the endpoint list of one pool at the discovery service, and hands each list and each change to the pool's
 * policy. Used on its event loop only.
 */
public final class DiscoveryClient implements EndpointListSource, UpstreamRegistry.Observer {
    private static final double FETCH_TIMEOUT_MS = 4000;
    private static final int ALL_PEERS = -1;

    // Fractions of PolicySettings#maxPollAgeMs, the time after which a proxy has to poll a discovery that is silent:

    /** Within this, discovery reports that a process has ended. */
    private static final double REPORT_DELAY_FRACTION = 0.35;
    /** The same if many processes have ended, or if another proxy has the report. */
    private static final double SHORT_REPORT_DELAY_FRACTION = 0.1;
    /** Over this, the proxies spread their announcements of a new version; several times a message's way. */
    private static final double ANNOUNCEMENT_SPREAD_FRACTION = 0.03;
    /** Over at most this, the proxies spread their polls of a discovery that is silent. */
    private static final double MAX_STAGGER_FRACTION = 0.25;

    /** A server of the list. */
    public record Host(Endpoint member, SocketAddress dial) {}

    /**
     * What is followed.
     *
     * @param known the list as it was last received, in discovery's JSON form; null for none
     * @param ask whether the policy asks for the list; else it is followed from the start
     */
    public record Source(
            InetSocketAddress address, JsonObject known, boolean ask, List<String> zones, List<String> kinds) {
        /** The source that the platform's settings name. */
        public static Source of(PlatformConfig config) {
            return new Source(
                    config.discovery(),
                    config.initialHosts(),
                    config.settings().pollsDiscovery(),
                    config.zones(),
                    config.kinds());
        }
    }

    /** How closely the list is watched, where others may do so for this proxy. */
    public interface Pace {
        /**
         * Whether a call is to be out at all times; else there is one only when {@link DiscoveryClient#ask} says so.
         */
        boolean closely();

        /** A list of this version has come. */
        void have(long version);
    }

    private final EventLoopContext core;
    private final Source source;
    private final EndpointListConsumer pool;
    /** Null if this proxy always long-polls. */
    private final Pace pace;

    private final EndpointListParser parser;
    private final ListVersion version = new ListVersion();
    private final LongPollLoop polls;
    private final SilentWatchMonitor silentWatch;
    /** For the complete lists that the policy fetches. */
    private final DiscoveryConnection fetches;

    private final VersionGossip gossip = new VersionGossip();
    private final double announcementDelayMs;

    /** Creates a client that always long-polls. */
    public DiscoveryClient(EventLoopContext core, Source source, EndpointListConsumer pool) {
        this(core, source, pool, null);
    }

    /**
     * Creates a client that another proxy may relieve from long-polling.
     *
     * @param pace null if it always long-polls
     */
    public DiscoveryClient(EventLoopContext core, Source source, EndpointListConsumer pool, Pace pace) {
        this.core = core;
        this.source = source;
        this.pool = pool;
        this.pace = pace;
        parser = new EndpointListParser(source.zones(), source.kinds());
        fetches = new DiscoveryConnection(core);
        PolicySettings settings = pool.settings();
        DiscoveryPollScheduler scheduler =
                new DiscoveryPollScheduler(source.ask(), settings.instanceCount(), new SplittableRandom(pool.seed()));
        polls = new LongPollLoop(core, scheduler, source.address(), version, this::apply);
        scheduler.setLongPolling(core.now(), shouldLongPoll());
        double maxPollAgeMs = settings.maxPollAgeMs();
        double staggerMs =
                Math.min(maxPollAgeMs * MAX_STAGGER_FRACTION, settings.instanceCount() * settings.connectTimeoutMs());
        double place = (double) settings.instanceIndex() / Math.max(1, settings.instanceCount());
        SilentWatchDetector detector = new SilentWatchDetector(
                maxPollAgeMs * REPORT_DELAY_FRACTION, maxPollAgeMs * SHORT_REPORT_DELAY_FRACTION, staggerMs * place);
        silentWatch = new SilentWatchMonitor(core, detector, polls);
        announcementDelayMs = maxPollAgeMs * ANNOUNCEMENT_SPREAD_FRACTION * place;
    }

    /** Hands over the list of the configuration, if any, and follows discovery unless the policy is to ask for that. */
    public void start() {
        List<Host> known = List.of();
        if (source.known() != null) {
            try {
                known = parser.servers(source.known());
                version.reset(parser.version(source.known()));
            } catch (RuntimeException e) {
                pool.log("the list in the configuration is of no use: " + e.getMessage());
            }
        }
        pool.listed(EndpointListKind.CACHED, known);
        silentWatch.listReceived(
                version.held(), true, known.stream().map(Host::member).toList());
        core.observe(this);
        if (!source.ask()) {
            watch(true);
        }
    }

    /**
     * Follows the list at another address of discovery from now on. The old one soon falls silent, so the new one is
     * polled immediately, and for the complete list, as its versions need not continue those of the old one.
     */
    public void move(InetSocketAddress to) {
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
        return pace == null || pace.closely();
    }

    /** Polls immediately, as there is a newer list. A long poll in flight should have delivered it and is replaced. */
    public void ask() {
        polls.pollNow();
    }

    /** Long-polls from now on, or leaves that to another proxy. */
    public void pace(boolean closely) {
        polls.setLongPolling(closely);
    }

    @Override
    public void close() {
        polls.close();
        core.servers.forget(this);
        fetches.close();
    }

    @Override
    public void fetch() {
        if (!polls.isClosed()) {
            fetches.get(polls.address(), "/discovery/hosts", FETCH_TIMEOUT_MS, this::fetched);
        }
    }

    private void fetched(DiscoveryResponse response) {
        try {
            apply(response.body());
        } catch (RuntimeException e) {
            pool.log("discovery: " + e.getMessage());
            pool.listed(EndpointListKind.FAILED, List.of());
        }
    }

    /**
     * Takes over a list or its changes.
     *
     * @throws RuntimeException if it is invalid or older than the list held, which then stays as it is
     */
    private void apply(JsonObject list) {
        EndpointListUpdate update = parser.parse(list);
        if (version.accept(update)) {
            gossip.versionChanged();
            core.after(announcementDelayMs, this::announceVersion);
        }
        if (pace != null) {
            pace.have(update.version());
        }
        silentWatch.listReceived(update.version(), update.complete(), update.endpoints());
        pool.listed(update.complete() ? EndpointListKind.FULL : EndpointListKind.CHANGES, update.servers());
    }

    private void announceVersion() {
        byte[] message = polls.isClosed() ? null : gossip.takeMessage(version.held());
        if (message != null) {
            pool.sendToPeer(ALL_PEERS, message);
        }
    }

    /** Another proxy, given by its number, has sent a message that {@link VersionGossip#isVersionMessage} accepts. */
    public void heard(int peer, byte[] message) {
        long announced = VersionGossip.decodeVersion(message);
        gossip.received(peer, announced);
        if (announced > version.held()) {
            silentWatch.versionClaimed(announced);
        }
    }

    @Override
    public void refused(int server) {
        silentWatch.connectionRefused(server);
    }

    @Override
    public void connected(int server) {
        silentWatch.connected(server);
    }
}
