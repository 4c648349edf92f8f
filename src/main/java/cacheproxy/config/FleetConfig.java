package cacheproxy.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [fleet]} with its peers, and {@code [[duty]]}: the proxies of the fleet, and the leases that they share.
 *
 * @param self this proxy's name among the peers
 * @param listen address at which this proxy receives the datagrams of its peers
 * @param keys shared secrets, the first of which signs datagrams; if empty, senders are identified by their addresses
 *     alone
 * @param longestLeaseMs the longest duration of any lease, the same at all proxies
 * @param healthCheck null if each proxy checks ejected servers by itself
 * @param delegatedWatch null if each proxy watches discovery by itself
 * @param quotas quotas of the whole fleet
 */
public record FleetConfig(
        String self,
        InetSocketAddress listen,
        List<String> keys,
        double longestLeaseMs,
        List<PeerConfig> peers,
        List<LeaseConfig> leases,
        HealthCheckConfig healthCheck,
        DelegatedWatchConfig delegatedWatch,
        QuotasConfig quotas) {
    private static final int MIN_KEY_CHARS = 16;
    /** The key that signs, and another one that is accepted while keys are rotated. */
    private static final int MAX_KEYS = 2;

    /** Copies the lists, so that the record is immutable. */
    public FleetConfig {
        keys = List.copyOf(keys);
        peers = List.copyOf(peers);
        leases = List.copyOf(leases);
    }

    /** Returns the names of the current peer list or, during a transition, of the peer list that is being adopted. */
    public List<String> peerNames() {
        return peerNames(null);
    }

    /** Returns the names of {@link #peerNames()} that are in one zone; null stands for all zones. */
    public List<String> peerNames(String zone) {
        return peers.stream()
                .filter(peer -> !peer.leaving() && (zone == null || peer.zone().equals(zone)))
                .map(PeerConfig::name)
                .toList();
    }

    /** Returns the names of the peer list that is being replaced; empty if there is no transition. */
    public List<String> previousPeerNames() {
        return previousPeerNames(null);
    }

    /** Returns the names of {@link #previousPeerNames()} that are in one zone; null stands for all zones. */
    public List<String> previousPeerNames(String zone) {
        List<PeerConfig> inZone = peers.stream()
                .filter(peer -> zone == null || peer.zone().equals(zone))
                .toList();
        if (inZone.stream().noneMatch(peer -> peer.joining() || peer.leaving())) {
            return List.of();
        }
        return inZone.stream()
                .filter(peer -> !peer.joining())
                .map(PeerConfig::name)
                .toList();
    }

    /** Returns the zone of this proxy; empty if it is not in the list of peers. */
    public String zone() {
        return peers.stream()
                .filter(peer -> peer.name().equals(self))
                .map(PeerConfig::zone)
                .findFirst()
                .orElse("");
    }

    /** Returns the names of the leases over which the health checks of ejected servers are distributed. */
    public List<String> healthCheckLeases() {
        return healthCheck == null
                ? List.of()
                : FleetNames.numberedNames(FleetNames.HEALTH_CHECK_PREFIX, healthCheck.leaseCount());
    }

    /** Returns the name of the lease for watching discovery of a pool on behalf of this proxy's zone. */
    public String watchLease(String pool) {
        return FleetNames.WATCH_PREFIX + zone() + "." + pool;
    }

    /** Returns warnings about settings that are allowed but unsafe, for the command {@code check}. */
    public List<String> warnings() {
        return keys.isEmpty()
                ? List.of("[fleet] has no key_file: anyone who can send from a peer's address can take its duties")
                : List.of();
    }

    /** Reads the section; returns null if the file has none. */
    static FleetConfig read(TomlTableReader root, ConfigReferences references) {
        TomlTableReader table = root.table("fleet");
        List<TomlTableReader> leases = root.tables("duty");
        if (table == null) {
            leases.stream()
                    .findFirst()
                    .ifPresent(lease -> lease.error("name", "duties need [fleet] with the proxies that share them"));
            return null;
        }
        double longestLeaseMs = table.number("longest_lease_ms", 3000, 100, 60_000);
        Set<String> peerNames = new HashSet<>();
        List<PeerConfig> peers = PeerConfig.readAll(table, peerNames);
        String self = table.text("me");
        if (!self.isEmpty() && !peerNames.contains(self)) {
            table.error("me", "there is no peer '" + self + "'; the list must contain this proxy");
        }
        PeerConfig.checkCount(table, peers);
        FleetConfig fleet = new FleetConfig(
                self,
                ConfigValues.listenAddress(table, "listen"),
                readKeys(table, references.file()),
                longestLeaseMs,
                peers,
                LeaseConfig.readAll(leases, longestLeaseMs),
                HealthCheckConfig.read(table, longestLeaseMs),
                DelegatedWatchConfig.read(table, longestLeaseMs),
                QuotasConfig.read(table, references, longestLeaseMs));
        if (!peers.isEmpty() && fleet.peerNames().isEmpty()) {
            table.error("peer", "all peers are leaving; at least one must stay");
        }
        table.rejectUnknownKeys();
        return fleet;
    }

    /** Reads the shared keys, one per line; empty if no key file is set, or after an error. */
    private static List<String> readKeys(TomlTableReader table, String file) {
        String text = table.text("key_file", null);
        if (text == null) {
            return List.of();
        }
        Path path = Path.of(file).toAbsolutePath().resolveSibling(text);
        try {
            List<String> keys = Files.readAllLines(path, StandardCharsets.UTF_8).stream()
                    .map(String::strip)
                    .filter(line -> !line.isEmpty())
                    .toList();
            boolean tooShort = keys.stream().anyMatch(key -> key.length() < MIN_KEY_CHARS);
            if (keys.isEmpty() || keys.size() > MAX_KEYS || tooShort) {
                table.error(
                        "key_file",
                        path + " has " + keys.size() + " keys; expected one or two lines of at least " + MIN_KEY_CHARS
                                + " characters");
                return List.of();
            }
            return keys;
        } catch (IOException e) {
            table.error("key_file", path + " can't be read");
            return List.of();
        }
    }
}
