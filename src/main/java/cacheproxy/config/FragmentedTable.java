package cacheproxy.config;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.tomlj.TomlPosition;

/**
 * A TOML table whose keys can be spread over several chunks of its file. If several chunks define a key, the first
 * definition counts.
 */
record FragmentedTable(List<TomlFragment> fragments) {
    /** Returns a table that is defined in one chunk. */
    static FragmentedTable of(TomlFragment fragment) {
        return new FragmentedTable(List.of(fragment));
    }

    /** Returns a table without keys. */
    static FragmentedTable empty() {
        return new FragmentedTable(List.of());
    }

    /** Returns the first fragment that has a key. */
    Optional<TomlFragment> fragmentWith(String key) {
        return fragments.stream().filter(fragment -> fragment.has(key)).findFirst();
    }

    /** Returns the position of a key in the file; empty if the key is absent. */
    Optional<TomlPosition> positionOf(String key) {
        return fragments.stream()
                .map(fragment -> fragment.positionOf(key))
                .filter(Objects::nonNull)
                .findFirst();
    }

    /**
     * Returns the positions of all definitions of a key after the first. The TOML parser does not detect them, as it
     * parses each chunk separately.
     */
    List<TomlPosition> repeatedDefinitions(String key) {
        return fragments.stream()
                .filter(fragment -> fragment.has(key))
                .skip(1)
                .map(fragment -> fragment.positionOf(key))
                .toList();
    }

    /** Returns all keys, in the order of the file. */
    Set<String> keys() {
        Set<String> keys = new LinkedHashSet<>();
        fragments.forEach(fragment -> keys.addAll(fragment.table().keySet()));
        return keys;
    }
}
