package cacheproxy.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * {@code [[fleet.peer]]}: a proxy of the fleet.
 *
 * @param address address at which the other peers reach it, and the source address of its datagrams
 * @param zone zone in which it runs; one proxy of each zone watches discovery
 * @param joining whether it is in the peer list that is being adopted, but not in the previous one
 * @param leaving whether it is only in the previous peer list
 */
public record PeerConfig(String name, InetSocketAddress address, String zone, boolean joining, boolean leaving) {
    private static final Pattern ZONE = Pattern.compile("[A-Za-z0-9_-]{1,64}");
    private static final int MAX_PEERS = 1000;

    /** Reads all peers and adds their valid names to {@code names}. */
    static List<PeerConfig> readAll(TomlTableReader fleet, Set<String> names) {
        List<PeerConfig> peers = new ArrayList<>();
        Set<InetSocketAddress> addresses = new HashSet<>();
        for (TomlTableReader table : fleet.tables("peer")) {
            PeerConfig peer = read(table, names);
            if (!addresses.add(peer.address)) {
                table.error("address", "another peer has the address " + Addresses.text(peer.address));
            }
            peers.add(peer);
            table.rejectUnknownKeys();
        }
        return peers;
    }

    private static PeerConfig read(TomlTableReader table, Set<String> names) {
        PeerConfig peer = new PeerConfig(
                FleetNames.uniqueName(table, names, "peer"),
                ConfigValues.serverAddress(table, "address"),
                table.text("zone", "here"),
                table.flag("joining", false),
                table.flag("leaving", false));
        if (!ZONE.matcher(peer.zone).matches()) {
            table.error("zone", "zone '" + peer.zone + "' is not 1 to 64 letters, digits, dashes and underscores");
        }
        if (peer.joining && peer.leaving) {
            table.error("joining", "a peer that is joining is not leaving");
        }
        return peer;
    }

    /** Reports an error if the list of peers is too long. */
    static void checkCount(TomlTableReader fleet, List<PeerConfig> peers) {
        if (peers.size() > MAX_PEERS) {
            fleet.error("peer", peers.size() + " peers; at most " + MAX_PEERS);
        }
    }
}
