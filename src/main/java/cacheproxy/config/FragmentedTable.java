package cacheproxy.config;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.tomlj.TomlPosition;

/** A TOML table as the chunks of its file have it. Of a key that stands in several, the first counts. */
record FragmentedTable(List<TomlFragment> fragments) {
    /** A table that stands in one chunk. */
    static FragmentedTable of(TomlFragment fragment) {
        return new FragmentedTable(List.of(fragment));
    }

    /** A table without keys. */
    static FragmentedTable empty() {
        return new FragmentedTable(List.of());
    }

    /** The first fragment that has a key. */
    Optional<TomlFragment> fragmentWith(String key) {
        return fragments.stream().filter(fragment -> fragment.has(key)).findFirst();
    }

    /** The position of a key in the file; empty where it is absent. */
    Optional<TomlPosition> positionOf(String key) {
        return fragments.stream()
                .map(fragment -> fragment.positionOf(key))
                .filter(Objects::nonNull)
                .findFirst();
    }

    /** The positions of a key's further definitions, which the TOML parser does not see as it reads by chunk. */
    List<TomlPosition> repeatedDefinitions(String key) {
        return fragments.stream()
                .filter(fragment -> fragment.has(key))
                .skip(1)
                .map(fragment -> fragment.positionOf(key))
                .toList();
    }

    /** All keys, in the file's order. */
    Set<String> keys() {
        Set<String> keys = new LinkedHashSet<>();
        fragments.forEach(fragment -> keys.addAll(fragment.table().keySet()));
        return keys;
    }
}
