package cacheproxy.proxy.process;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.proxy.discovery.DiscoveryClient;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.net.InetSocketAddress;

/**
 * Reads the configuration again while the proxy runs. Only the address of discovery and the switch of the event log are
 * taken over. Files are read on other threads than the event loop's.
 */
final class ConfigReloader {
    private final EventLoopContext loopContext;
    private final DiscoveryClient discovery;
    /** The file that {@link #reloadInBackground} reads; null if there is none. */
    private volatile String path;

    ConfigReloader(EventLoopContext loopContext, DiscoveryClient discovery) {
        this.loopContext = loopContext;
        this.discovery = discovery;
    }

    /** Sets the file that {@link #reloadInBackground} reads. */
    void setPath(String newPath) {
        path = newPath;
    }

    /** Begins to read the file on a thread of its own; returns false if there is no file. */
    boolean reloadInBackground() {
        String current = path;
        if (current == null) {
            return false;
        }
        Thread reader = new Thread(() -> reload(current), "reload");
        reader.setDaemon(true);
        reader.start();
        return true;
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
