package cacheproxy.nginx.importer;

import java.util.Set;

/** Validates and makes names of the imported file. */
final class Names {
    /** The maximum length of the name of a pool, server or host. */
    private static final int MAX_LENGTH = 64;

    /** The maximum length without the number that makes a name unique. */
    private static final int MAX_BASE_LENGTH = 56;

    private Names() {}

    /** Whether a text can be the name of a pool or server. */
    static boolean isValid(String text) {
        return !text.isEmpty()
                && text.length() <= MAX_LENGTH
                && text.chars()
                        .allMatch(character ->
                                character > ' ' && character <= '~' && character != ',' && character != '=');
    }

    /** Makes a name of a text and adds it to the names taken; appends a number if the name is already taken. */
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
