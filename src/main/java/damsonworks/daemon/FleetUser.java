package damsonworks.daemon;

import com.google.gson.JsonObject;
import damsonworks.config.DaemonFile;
import damsonworks.lease.Tenure;

/** What acts under the program's own duties and talks to its like at the other proxies. On the event loop only. */
interface FleetUser {
    /** What users have of the fleet. */
    interface Link {
        /** To a peer; to nobody where it is none. */
        void send(long to, FleetUser from, byte[] payload);

        Tenure tenure(String duty);

        /** This proxy's id among the peers. */
        long me();
    }

    /** What its datagrams are about; leases have 1. */
    byte topic();

    /** The file counts from now on; the duties that it names are stood for already. */
    void apply(DaemonFile file, double now);

    void heard(double now, long from, byte[] payload);

    /** Adds what operators may want to know of it. */
    void tell(JsonObject state);

    /** Does what is due; when to be called again, at the latest. */
    double tick(double now);
}
