package cacheproxy.routes;

import java.util.Arrays;
import java.util.Collection;

/** Finds all texts of a set that a key begins with, the longest first, whatever their number. Allocates nothing. */
final class PrefixIndex {
    private final String[] texts;
    /** For each text, the longest other one that it begins with; -1: none. */
    private final int[] parent;

    PrefixIndex(Collection<String> set) {
        texts = set.stream().sorted().toArray(String[]::new);
        parent = new int[texts.length];
        for (int i = 0; i < texts.length; i++) {
            int p = i - 1;
            while (p >= 0 && !texts[i].startsWith(texts[p])) {
                p = parent[p];
            }
            parent[i] = p;
        }
    }

    int size() {
        return texts.length;
    }

    /** The place of a text that is in the set. */
    int indexOf(String text) {
        return Arrays.binarySearch(texts, text);
    }

    /** The place of the longest text that the key begins with; -1: none. */
    int longest(String key) {
        if (texts.length == 0) {
            return -1;
        }
        // The last text that sorts no later than the key: what sorts between a prefix of the key and the key begins
        // with
        // that prefix, too, so that all prefixes of the key are it or among those that it begins with.
        int at = Arrays.binarySearch(texts, key);
        at = at >= 0 ? at : -at - 2;
        while (at >= 0 && !key.startsWith(texts[at])) {
            at = parent[at];
        }
        return at;
    }

    /** The next shorter one. */
    int shorter(int place) {
        return parent[place];
    }
}
