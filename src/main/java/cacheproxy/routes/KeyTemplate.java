package cacheproxy.routes;

import com.google.re2j.Matcher;
import java.util.ArrayList;
import java.util.List;

/** A key made of literal text and the groups of a match: {@code $0} to {@code $9}, and {@code $$} for a dollar sign. */
final class KeyTemplate {
    /** Group number of a part that is literal. */
    private static final int NO_GROUP = -1;

    private record Part(String literal, int group) {}

    private final List<Part> parts = new ArrayList<>();

    /**
     * Parses a template.
     *
     * @param groupCount the number of capturing groups of the pattern that the template is applied to
     * @throws IllegalArgumentException if the template refers to a group that the pattern does not have
     */
    KeyTemplate(String text, int groupCount) {
        StringBuilder literal = new StringBuilder();
        int position = 0;
        while (position < text.length()) {
            char current = text.charAt(position);
            if (current != '$') {
                literal.append(current);
                position++;
                continue;
            }
            char next = position + 1 < text.length() ? text.charAt(position + 1) : ' ';
            position += 2;
            int group = next - '0';
            if (next == '$') {
                literal.append('$');
            } else if (group >= 0 && group <= 9 && group <= groupCount) {
                parts.add(new Part(literal.toString(), group));
                literal.setLength(0);
            } else {
                throw new IllegalArgumentException("'$" + next + "' names no group of the pattern, which has "
                        + groupCount + "; write $$ for a dollar sign");
            }
        }
        parts.add(new Part(literal.toString(), NO_GROUP));
    }

    /** Returns the key of a template without groups. */
    String literal() {
        return parts.get(parts.size() - 1).literal();
    }

    /** Returns the key with the groups of a pattern's first match in another key; null if there is no match. */
    String expand(KeyPattern pattern, String key) {
        Matcher matcher = pattern.findFirst(key);
        if (matcher == null) {
            return null;
        }
        StringBuilder expanded = new StringBuilder();
        for (Part part : parts) {
            expanded.append(part.literal());
            String group = part.group() == NO_GROUP ? null : matcher.group(part.group());
            expanded.append(group == null ? "" : group);
        }
        return expanded.toString();
    }
}
