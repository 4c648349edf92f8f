package cacheproxy.proxy.net;

import io.netty.util.internal.logging.InternalLoggerFactory;
import java.util.Map;

/**
 * Netty's system properties for the platform's proxy, chosen for low memory use and a fast start. The service and the
 * run that writes its class archive (CDS) share them: classes that only one of the two loads are not in the archive,
 * and are then read and verified at each start. Properties that are set on the command line take precedence.
 */
public final class NettyDefaults {
    private static final Map<String, String> VALUES = Map.ofEntries(
            // There is one event loop, so one arena of each kind is enough; chunks are of 256 KiB.
            Map.entry("io.netty.allocator.type", "pooled"),
            Map.entry("io.netty.allocator.numHeapArenas", "1"),
            Map.entry("io.netty.allocator.numDirectArenas", "1"),
            Map.entry("io.netty.allocator.maxOrder", "5"),
            Map.entry("io.netty.allocator.smallCacheSize", "32"),
            Map.entry("io.netty.allocator.normalCacheSize", "8"),
            Map.entry("io.netty.allocator.maxCachedBufferCapacity", "16384"),
            // JFR events of buffers would load the flight recorder, which takes 150 ms at start-up.
            Map.entry("io.netty.jfr.enabled", "false"),
            // Parts of channel ids. Without them, Netty would query all network interfaces for a hardware address.
            Map.entry("io.netty.machineId", "02:00:00:00:00:01"),
            Map.entry("io.netty.processId", "1"),
            Map.entry("io.netty.leakDetection.level", "disabled"));

    private NettyDefaults() {}

    /** Sets the properties and Netty's log. To be called before any class of Netty is loaded. */
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
