package cacheproxy.daemon.fleet;

import cacheproxy.fleet.lease.LeaseHandle;

/** The services of the fleet that a {@link FleetProtocol} uses. */
interface PeerLink {
    /** Sends a payload under the protocol's topic; does nothing if the receiver is not a configured peer. */
    void send(long to, FleetProtocol from, byte[] payload);

    /** Returns the handle of a lease, whether it is held here or not. */
    LeaseHandle lease(String name);

    /** Returns this proxy's id among the peers. */
    long ownId();
}
