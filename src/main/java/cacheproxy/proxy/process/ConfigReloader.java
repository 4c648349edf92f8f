package cacheproxy.proxy.process;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.net.InetSocketAddress;

/**
 * Reloads the configuration while the proxy runs. Only the address of discovery and the setting of the event log are
 * applied. Files are read on other threads than the event loop's, one at a time.
 */
final class ConfigReloader {
    private final EventLoopContext loopContext;
    private final DiscoveryClient discovery;

    ConfigReloader(EventLoopContext loopContext, DiscoveryClient discovery) {
        this.loopContext = loopContext;
        this.discovery = discovery;
    }

    /**
     * Reads and applies the file; an invalid file is reported on standard error and changes nothing. Must not be called
     * on the event loop.
     */
    void reload(String file) {
        try {
            PlatformConfig config = PlatformConfig.read(file);
            InetSocketAddress discoveryAddress = config.discovery();
            applyEventLog(loopContext, config);
            if (loopContext.events().isEnabled()) {
                loopContext
                        .events()
                        .line(ProxyEvent.STATE_CHANGED)
                        .with("state", "reloaded")
                        .with("discovery", discoveryAddress)
                        .write();
            }
            loopContext.loop().execute(() -> discovery.moveTo(discoveryAddress));
        } catch (IllegalArgumentException e) {
            System.err.println(e.getMessage());
        }
    }

    /** Enables or disables the event log, if the configuration has the setting. */
    static void applyEventLog(EventLoopContext loopContext, PlatformConfig config) {
        if (config.eventLog() != null) {
            loopContext.events().setEnabled(config.eventLog());
        }
    }
}
