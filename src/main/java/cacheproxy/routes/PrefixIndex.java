package cacheproxy.routes;

import java.util.Arrays;
import java.util.Collection;

/** A set of prefixes that finds all those of a key, the longest first, by binary search and without allocation. */
final class PrefixIndex {
    private static final int NONE = -1;

    private final String[] prefixes;
    /** By prefix, the index of the longest other one that it begins with. */
    private final int[] parents;

    PrefixIndex(Collection<String> distinctPrefixes) {
        prefixes = distinctPrefixes.stream().sorted().toArray(String[]::new);
        parents = new int[prefixes.length];
        for (int i = 0; i < prefixes.length; i++) {
            int parent = i - 1;
            while (parent >= 0 && !prefixes[i].startsWith(prefixes[parent])) {
                parent = parents[parent];
            }
            parents[i] = parent;
        }
    }

    /** The number of prefixes. */
    int size() {
        return prefixes.length;
    }

    /** The index of a prefix that is in the set. */
    int indexOf(String prefix) {
        return Arrays.binarySearch(prefixes, prefix);
    }

    /**
     * The index of the longest prefix of a key; -1: none.
     *
     * <p>The search starts at the last prefix that sorts no later than the key. Whatever sorts between a prefix of the
     * key and the key begins with that prefix too, so all prefixes of the key are found by following parents.
     */
    int longestPrefixOf(String key) {
        if (prefixes.length == 0) {
            return NONE;
        }
        int found = Arrays.binarySearch(prefixes, key);
        int index = found >= 0 ? found : -found - 2;
        while (index >= 0 && !key.startsWith(prefixes[index])) {
            index = parents[index];
        }
        return index;
    }

    /** The index of the next shorter prefix of the same key; -1: none. */
    int nextShorter(int index) {
        return parents[index];
    }
}
