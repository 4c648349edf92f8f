package cacheproxy.nginx.importer;

import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.PathKey;

/** Converts paths that consist of literals and groups of a pattern to templates of routes. */
final class PathTemplates {
    private static final int MAX_GROUP = 9;
    private static final String NAMED_GROUP = "(?P<";

    private PathTemplates() {}

    /**
     * Returns a path as the {@code replace} template of a route.
     *
     * @param pattern the pattern that has the groups; null: none
     * @return null if the path has other variables
     */
    static String replacement(Expression path, String pattern) {
        StringBuilder template = new StringBuilder();
        for (Expression.Part part : path.parts()) {
            if (!part.variable()) {
                template.append(PathKey.encodePercent(part.text()).replace("$", "$$"));
                continue;
            }
            int group = group(part.text(), pattern);
            if (group <= 0 || group > MAX_GROUP || pattern == null || group > new KeyPattern(pattern).groupCount()) {
                return null;
            }
            template.append('$').append(group);
        }
        return template.toString();
    }

    /** Returns a path as part of a placement template, in which nothing is percent-encoded. */
    static String placementText(Expression path, String pattern) {
        StringBuilder template = new StringBuilder();
        for (Expression.Part part : path.parts()) {
            template.append(
                    part.variable()
                            ? "${" + group(part.text(), pattern) + "}"
                            : part.text().replace("$", "$$"));
        }
        return template.toString();
    }

    /** Returns the number of the group that a variable names; 0 if there is none. */
    private static int group(String name, String pattern) {
        if (name.matches("[1-9]")) {
            return Integer.parseInt(name);
        }
        return pattern == null ? 0 : namedGroup(name, pattern);
    }

    private static int namedGroup(String name, String pattern) {
        int groups = 0;
        for (int i = 0; i < pattern.length(); i++) {
            if (pattern.charAt(i) == '\\') {
                i++;
            } else if (pattern.startsWith(NAMED_GROUP, i)) {
                groups++;
                if (pattern.startsWith(NAMED_GROUP + name + ">", i)) {
                    return groups;
                }
            } else if (pattern.charAt(i) == '(' && !pattern.startsWith("(?", i)) {
                groups++;
            }
        }
        return 0;
    }
}
