package cacheproxy.proxy.process;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.net.InetSocketAddress;

/**
 * Reads the configuration again while the proxy runs. Only the address of discovery and the switch of the event log are
 * taken over. Files are read on other threads than the event loop's, one at a time.
 */
final class ConfigReloader {
    private final EventLoopContext loopContext;
    private final DiscoveryClient discovery;

    ConfigReloader(EventLoopContext loopContext, DiscoveryClient discovery) {
        this.loopContext = loopContext;
        this.discovery = discovery;
    }

    /** Reads the file; an invalid one is reported on standard error and changes nothing. Not on the event loop. */
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

    /** Switches the event log on or off, if the configuration says so. */
    static void applyEventLog(EventLoopContext loopContext, PlatformConfig config) {
        if (config.eventLog() != null) {
            loopContext.events().setEnabled(config.eventLog());
        }
    }
}
