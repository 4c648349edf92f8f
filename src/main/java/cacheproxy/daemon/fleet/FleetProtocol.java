package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import com.google.gson.JsonObject;

/**
 * A protocol between the proxies of a fleet, whose messages have a topic of their own. {@link FleetSubsystem} calls all
 * methods on the event loop. Times are milliseconds of the event loop's monotonic clock.
 */
interface FleetProtocol {
    /**
     * Returns the topic of the protocol's datagrams. It differs for each protocol and from {@link FleetLeases#TOPIC},
     * the topic of leases.
     */
    byte topic();

    /** Adopts a configuration. The campaigns for its leases have already been started. */
    void apply(DaemonConfig file, double nowMs);

    /** Handles a payload that a peer has sent under the topic; a malformed one is ignored. */
    void receive(double nowMs, long from, byte[] payload);

    /** Adds the protocol's state to the JSON of {@code GET /fleet}, for operators. */
    void describe(JsonObject state);

    /** Does the work that is due. Returns the latest time of the next call. */
    double tick(double nowMs);
}
