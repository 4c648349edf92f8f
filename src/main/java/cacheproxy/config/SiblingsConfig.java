package cacheproxy.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * {@code [icp]} and all {@code [[sibling]]} tables: caches of other fleets that are queried before the origin.
 *
 * @param icp null if no queries are sent or answered
 */
public record SiblingsConfig(IcpConfig icp, List<SiblingConfig> siblings) {
    private static final SiblingsConfig NONE = new SiblingsConfig(null, List.of());

    /** Returns the siblings of a file; never null. */
    public static SiblingsConfig of(DaemonConfig file) {
        SiblingsConfig section = file.section(SiblingsConfig.class);
        return section == null ? NONE : section;
    }

    /** Returns the sibling of this name, which must exist. */
    public SiblingConfig sibling(String name) {
        return siblings.stream()
                .filter(sibling -> sibling.name().equals(name))
                .findFirst()
                .orElseThrow();
    }

    /** Reads the sections; returns null if the file has none of them. */
    static SiblingsConfig read(TomlTableReader root, ConfigReferences references) {
        List<SiblingConfig> siblings = new ArrayList<>();
        Set<String> names = new HashSet<>();
        Set<Integer> ids = new HashSet<>();
        for (TomlTableReader table : root.tables("sibling")) {
            siblings.add(SiblingConfig.read(table, references, names, ids));
        }
        IcpConfig icp = IcpConfig.read(root, references);
        if (icp == null && !siblings.isEmpty()) {
            references.errors().add(null, "siblings are queried by ICP; write [icp] with an address");
        }
        references
                .pools()
                .values()
                .forEach(pool -> checkPool(pool, references.poolTables().get(pool.name()), names));
        return icp == null && siblings.isEmpty() ? null : new SiblingsConfig(icp, List.copyOf(siblings));
    }

    private static void checkPool(PoolConfig pool, TomlTableReader table, Set<String> names) {
        pool.siblings().forEach(sibling -> table.checkReference("siblings", sibling, names, "sibling"));
        if (!pool.siblings().isEmpty() && pool.origin() == null) {
            table.error(
                    "siblings", "siblings are queried before a pool's own origin, and this pool has none in the file");
        }
    }
}
