package cacheproxy.daemon.fleet;

import cacheproxy.fleet.lease.LeaseHandle;

/** What a {@link FleetProtocol} uses of the fleet. */
interface PeerLink {
    /** Sends a payload under the protocol's topic; ignored if the receiver is not a configured peer. */
    void send(long to, FleetProtocol from, byte[] payload);

    /** The lease of this name, held or not. */
    LeaseHandle lease(String name);

    /** This proxy's id among the peers. */
    long ownId();
}
