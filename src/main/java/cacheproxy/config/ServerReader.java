package cacheproxy.config;

import cacheproxy.placement.ServerId;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

/** Reads servers and checks that, over all pools, each has one name, one id and one address. */
final class ServerReader {
    private final Map<String, ServerConfig> serversByName = new HashMap<>();
    private final Map<InetSocketAddress, String> namesByAddress = new HashMap<>();
    private final Map<Integer, String> namesById = new HashMap<>();

    /** Returns the names of the servers read so far, by id. */
    Map<Integer, String> namesById() {
        return namesById;
    }

    /**
     * Reads a server.
     *
     * @param namesInPool names of the servers read so far in its pool, to which this one is added
     * @param kind kind of the server if the table names none
     */
    ServerConfig read(TomlTableReader table, Set<String> namesInPool, String kind) {
        String name = ConfigValues.uniqueName(table, namesInPool, "server");
        // A server that is down needs no address: it only keeps its position in nginx's placements.
        boolean hasAddress = !table.flag("down", false) || table.has("dial");
        InetSocketAddress address = hasAddress ? ConfigValues.serverAddress(table, "dial") : null;
        int id = ServerId.fromName(name);
        checkId(table, name, id);
        String zone = table.text("zone", "here");
        ServerConfig server = new ServerConfig(
                name,
                id,
                address,
                zone,
                table.text("kind", kind),
                table.number("weight", 1, 0, 1e6),
                table.flag("backup", false),
                table.flag("down", false),
                table.flag("drain", false),
                table.flag("warm", false),
                table.number("capacity", 0, 0.1, 1e9),
                table.text("ring", name));
        if (hasAddress) {
            checkAddress(table, server);
        }
        table.rejectUnknownKeys();
        return server;
    }

    private void checkId(TomlTableReader table, String name, int id) {
        String other = namesById.putIfAbsent(id, name);
        if (other != null && !other.equals(name)) {
            table.error(
                    "name",
                    "server '" + name + "' has the same id as '" + other + "', " + Integer.toHexString(id)
                            + "; rename one");
        }
    }

    private void checkAddress(TomlTableReader table, ServerConfig server) {
        InetSocketAddress address = server.address();
        String nameAtAddress = namesByAddress.putIfAbsent(address, server.name());
        if (nameAtAddress != null && !nameAtAddress.equals(server.name()) && address.getPort() != 0) {
            table.error(
                    "dial",
                    Addresses.text(address) + " is server '" + nameAtAddress
                            + "' already; a server has the same name in all pools");
        }
        ServerConfig sameName = serversByName.putIfAbsent(server.name(), server);
        if (sameName != null && !address.equals(sameName.address())) {
            table.error(
                    "dial",
                    "server '" + server.name() + "' has the address " + Addresses.text(sameName.address())
                            + " in another pool; a name has one address");
        }
    }
}
