package cacheproxy.proxy.net;

import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Map;

/**
 * How the platform's proxy wants Netty: small, and soon there. Set in one place for the service and for the run that
 * archives its classes; what the two differ in is not in the archive, and is read and verified at each start. What the
 * command line names goes before.
 */
public final class NettyDefaults {
    private static final Map<String, String> VALUES = Map.ofEntries(
            // One loop: one arena of each kind, in chunks of 256 KiB.
            Map.entry("io.netty.allocator.type", "pooled"),
            Map.entry("io.netty.allocator.numHeapArenas", "1"),
            Map.entry("io.netty.allocator.numDirectArenas", "1"),
            Map.entry("io.netty.allocator.maxOrder", "5"),
            Map.entry("io.netty.allocator.smallCacheSize", "32"),
            Map.entry("io.netty.allocator.normalCacheSize", "8"),
            Map.entry("io.netty.allocator.maxCachedBufferCapacity", "16384"),
            // Flight recorder events of buffers, which load the recorder: 150 ms of a start.
            Map.entry("io.netty.jfr.enabled", "false"),
            // Ids of channels hold these; to find a hardware address asks all the interfaces.
            Map.entry("io.netty.machineId", "02:00:00:00:00:01"),
            Map.entry("io.netty.processId", "1"),
            Map.entry("io.netty.leakDetection.level", "disabled"));

    private NettyDefaults() {}

    /** To be called before any class of Netty is loaded. */
    public static void apply() {
        VALUES.forEach((name, value) -> {
            if (System.getProperty(name) == null) {
                System.setProperty(name, value);
            }
        });
        String folder = System.getenv("TMPDIR");
        if (folder != null && System.getProperty("io.netty.native.workdir") == null) {
            System.setProperty("io.netty.native.workdir", folder);
        }
        InternalLoggerFactory.setDefaultFactory(new NettyLog.Factory());
    }
}
