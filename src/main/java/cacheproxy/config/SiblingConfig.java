package cacheproxy.config;

import cacheproxy.placement.ServerId;
import java.net.InetSocketAddress;
import java.util.Set;

/**
 * {@code [[sibling]]}: a proxy of another fleet whose cache is queried before the origin.
 *
 * @param id hash of the name, distinct from the ids of all servers
 * @param icpAddress address at which it answers ICP queries, and from which it sends its own queries
 * @param fetchAddress address of its listener for fetches
 * @param className name of its service class for fetches
 */
public record SiblingConfig(
        String name, int id, InetSocketAddress icpAddress, InetSocketAddress fetchAddress, String className) {
    /** Reads one sibling and adds its name and id to {@code names} and {@code ids}. */
    static SiblingConfig read(TomlTableReader table, ConfigReferences references, Set<String> names, Set<Integer> ids) {
        String name = ConfigValues.uniqueName(table, names, "sibling");
        int id = ServerId.fromName("sibling/" + name);
        if (references.serverNames().containsKey(id) || !ids.add(id)) {
            table.error(
                    "name",
                    "sibling '" + name + "' has the same id as another server, " + Integer.toHexString(id)
                            + "; rename one");
        }
        String className = table.text("class");
        if (!className.isEmpty() && !ConfigValues.isName(className)) {
            table.error("class", "class '" + className + "' is not a valid name");
        }
        SiblingConfig sibling = new SiblingConfig(
                name,
                id,
                ConfigValues.serverAddress(table, "icp"),
                ConfigValues.serverAddress(table, "fetch"),
                className);
        table.rejectUnknownKeys();
        return sibling;
    }
}
