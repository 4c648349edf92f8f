package cacheproxy.daemon.fleet;

import cacheproxy.config.DaemonConfig;
import cacheproxy.fleet.lease.LeaseHandle;
import com.google.gson.JsonObject;

/** What acts under the program's own duties and talks to its like at the other proxies. On the event loop only. */
interface FleetProtocol {
    /** What users have of the fleet. */
    interface PeerLink {
        /** To a peer; to nobody where it is none. */
        void send(long to, FleetProtocol from, byte[] payload);

        LeaseHandle lease(String duty);

        /** This proxy's id among the peers. */
        long ownId();
    }

    /** What its datagrams are about; leases have 1. */
    byte topic();

    /** The file counts from now on; the duties that it names are stood for already. */
    void apply(DaemonConfig file, double now);

    void receive(double now, long from, byte[] payload);

    /** Adds what operators may want to know of it. */
    void describe(JsonObject state);

    /** Does what is due; when to be called again, at the latest. */
    double tick(double now);
}
