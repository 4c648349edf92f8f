package cacheproxy.faulttest;

import cacheproxy.faulttest.scenario.Scenario;
import com.google.gson.JsonObject;
import java.util.function.IntFunction;

/** The configuration files of the proxies: the platform's for {@code serve}, the daemon's for {@code run}. */
final class ProxyConfigFiles {
    /** Memory limit of a proxy, MB. */
    static final int MEMORY_MB = 192;
    /** Limit on a proxy's open sockets. */
    static final int SOCKETS = 1024;

    private final boolean serve;
    private final PlatformConfigFile platform;
    private final DaemonConfigFile daemon;

    /** @param initialEndpointList the endpoint list that is passed to a proxy when it starts, by the proxy's index */
    ProxyConfigFiles(Scenario scenario, AddressSpace space, IntFunction<JsonObject> initialEndpointList) {
        serve = scenario.program().equals("serve");
        platform = new PlatformConfigFile(scenario, space, initialEndpointList);
        daemon = new DaemonConfigFile(scenario, space);
    }

    /** The text of a proxy's file; the seed is used for {@code serve} only. */
    String of(int proxy, long seed) {
        return serve ? platform.of(proxy, seed) : daemon.of(proxy);
    }
}
