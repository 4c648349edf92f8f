package cacheproxy.daemon;

import cacheproxy.config.IcpConfig;
import cacheproxy.icp.IcpMessage;
import cacheproxy.icp.IcpMessage.Opcode;
import cacheproxy.proxy.request.RequestValidator;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.routes.Route;
import cacheproxy.routes.RouteInput;
import cacheproxy.siblings.CacheDigest;
import cacheproxy.siblings.DenialLimiter;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;

/**
 * Decides how an ICP query is answered, from its sender, the route of its key, and the keys that this proxy's own
 * servers are known to hold. On the event loop only.
 */
final class IcpResponder {
    /** Longest key that the cache protocol allows. */
    private static final int MAX_KEY_CHARS = 250;
    /** Number of unknown addresses whose denied queries are counted. */
    private static final int MAX_UNKNOWN_ADDRESSES = 1024;

    private final IcpConfig icp;
    private final EventLoopContext core;
    private final CacheDigest digest;
    private final Predicate<InetSocketAddress> isSibling;
    /** The current configuration, whose routes and pools determine the answers. */
    private final Supplier<ConfigSnapshot> configuration;

    private final DenialLimiter<InetSocketAddress> denials = new DenialLimiter<>(MAX_UNKNOWN_ADDRESSES);

    IcpResponder(
            IcpConfig icp,
            EventLoopContext core,
            CacheDigest digest,
            Predicate<InetSocketAddress> isSibling,
            Supplier<ConfigSnapshot> configuration) {
        this.icp = icp;
        this.core = core;
        this.digest = digest;
        this.isSibling = isSibling;
        this.configuration = configuration;
    }

    /** Returns the opcode of the reply to a query; empty if the query gets no reply. */
    Optional<Opcode> answer(InetSocketAddress from, IcpMessage query) {
        boolean denied = !isSibling.test(from);
        if (!denials.shouldAnswer(from, denied)) {
            return Optional.empty();
        }
        if (denied) {
            return Optional.of(Opcode.DENIED);
        }
        ConfigSnapshot config = configuration.get();
        if (config == null || !query.url().startsWith(icp.urlPrefix())) {
            return Optional.of(Opcode.ERR);
        }
        String key = query.url().substring(icp.urlPrefix().length());
        return Optional.of(lookUp(config, key));
    }

    private Opcode lookUp(ConfigSnapshot config, String key) {
        if (key.isEmpty() || key.length() > MAX_KEY_CHARS || icp.listener() == null) {
            return Opcode.MISS;
        }
        RouteInput input = config.file.keys().parse(icp.listener(), key, 0, 0, false);
        if (input == null) {
            return Opcode.MISS;
        }
        Route route = config.file.routes().find(input);
        if (route == null || !(route.action() instanceof Route.ToPools)) {
            return Opcode.MISS;
        }
        String poolKey = route.poolKey(input);
        return poolKey == null ? Opcode.MISS : lookUpInPool(config.chain(route).get(0), poolKey);
    }

    private Opcode lookUpInPool(PoolRuntime pool, String poolKey) {
        if (pool.dispatcher.isOverloaded()) {
            return Opcode.MISS_NOFETCH;
        }
        long keyHash = RequestValidator.keyHash(poolKey);
        if (!digest.contains(core.nowMs(), keyHash)) {
            return Opcode.MISS;
        }
        int server = digest.serverOf(keyHash);
        return pool.hasServer(server) && pool.dispatcher.isHealthy(server) ? Opcode.HIT : Opcode.MISS;
    }
}
