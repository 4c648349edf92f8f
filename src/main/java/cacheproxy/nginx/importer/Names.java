package cacheproxy.nginx.importer;

import java.util.Set;

/** Names in the imported file. */
final class Names {
    /** The longest name of a pool, server or host. */
    private static final int MAX_LENGTH = 64;

    /** Leaves room for a number that makes a name unique. */
    private static final int MAX_BASE_LENGTH = 56;

    private Names() {}

    /** Whether a text may be the name of a pool or server. */
    static boolean isValid(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_LENGTH
                && text.chars()
                        .allMatch(character ->
                                character > ' ' && character <= '~' && character != ',' && character != '=');
    }

    /** Adds a name made of a text to those taken, with a number if it is one of them. */
    static String unique(String text, Set<String> taken) {
        String valid = text.replaceAll("[^!-~]|[,=]", "_");
        String base = valid.length() > MAX_BASE_LENGTH ? valid.substring(0, MAX_BASE_LENGTH) : valid;
        String name = base;
        for (int i = 2; !taken.add(name); i++) {
            name = base + "#" + i;
        }
        return name;
    }
}
