package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import com.google.gson.JsonObject;

/**
 * An exchange of messages between the proxies of a fleet under a topic of its own. {@link FleetSubsystem} calls all of
 * it, on the event loop. Times are milliseconds of the event loop's monotonic clock.
 */
interface FleetProtocol {
    /** The topic of its datagrams, different for each protocol; {@link FleetLeases#TOPIC} is that of the leases. */
    byte topic();

    /** Adopts a configuration; the leases that it names are already campaigned for. */
    void apply(DaemonConfig file, double nowMs);

    /** Takes a payload that a peer has sent under the topic; a malformed one is ignored. */
    void receive(double nowMs, long from, byte[] payload);

    /** Adds what operators may want to know to the JSON of {@code GET /fleet}. */
    void describe(JsonObject state);

    /** Does what is due; returns when to call it again, at the latest. */
    double tick(double nowMs);
}
