package cacheproxy.routes;

import java.util.Arrays;
import java.util.Collection;

/**
 * A set of prefixes that finds all those that a key begins with, the longest first, by binary search and without
 * allocation.
 */
final class PrefixIndex {
    private static final int NONE = -1;

    private final String[] prefixes;
    /** For each prefix, the index of the longest other prefix that it begins with; -1 if there is none. */
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

    /** Returns the number of prefixes. */
    int size() {
        return prefixes.length;
    }

    /** Returns the index of a prefix that is in the set. */
    int indexOf(String prefix) {
        return Arrays.binarySearch(prefixes, prefix);
    }

    /**
     * Returns the index of the longest prefix of a key; -1 if there is none.
     *
     * <p>The search starts at the last prefix that sorts no later than the key. Any text that sorts between a prefix of
     * the key and the key also begins with that prefix, so following the parents finds all prefixes of the key.
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

    /** Returns the index of the next shorter prefix of the same key; -1 if there is none. */
    int nextShorter(int index) {
        return parents[index];
    }
}
