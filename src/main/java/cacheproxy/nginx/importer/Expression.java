package cacheproxy.nginx.importer;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A parameter with variables, such as {@code http://$backend$request_uri}. */
record Expression(List<Part> parts) {
    /** The empty text. */
    static final Expression EMPTY = new Expression(List.of());

    /**
     * A literal text or a variable.
     *
     * @param variable whether {@code text} is the name of a variable, without its dollar sign
     */
    record Part(boolean variable, String text) {
        /** Whether this part is one of these variables. */
        boolean isVariable(String... names) {
            return variable && List.of(names).contains(text);
        }
    }

    /** Parses a parameter. A dollar sign that is not followed by a name is literal text. */
    static Expression of(String text) {
        List<Part> parts = new ArrayList<>();
        StringBuilder literal = new StringBuilder();
        int next = 0;
        while (next < text.length()) {
            int nameStart = text.startsWith("${", next) ? next + 2 : next + 1;
            int nameEnd = text.charAt(next) == '$' ? endOfName(text, nameStart) : nameStart;
            if (nameEnd == nameStart) {
                literal.append(text.charAt(next));
                next++;
                continue;
            }
            boolean braced = text.charAt(next + 1) == '{';
            if (!braced && Character.isDigit(text.charAt(nameStart))) {
                nameEnd = nameStart + 1; // groups have one digit: "$12" is the first group followed by "2"
            }
            addLiteral(literal, parts);
            parts.add(new Part(true, text.substring(nameStart, nameEnd)));
            next = braced ? nameEnd + 1 : nameEnd;
        }
        addLiteral(literal, parts);
        return new Expression(parts);
    }

    private static int endOfName(String text, int start) {
        int end = start;
        while (end < text.length() && (Character.isLetterOrDigit(text.charAt(end)) || text.charAt(end) == '_')) {
            end++;
        }
        return end;
    }

    private static void addLiteral(StringBuilder literal, List<Part> parts) {
        if (literal.length() > 0) {
            parts.add(new Part(false, literal.toString()));
            literal.setLength(0);
        }
    }

    /** Returns an expression of these parts, with adjacent literals joined. */
    static Expression joined(List<Part> parts) {
        List<Part> joined = new ArrayList<>();
        for (Part part : parts) {
            Part last = joined.isEmpty() ? null : joined.get(joined.size() - 1);
            if (last != null && !last.variable && !part.variable) {
                joined.set(joined.size() - 1, new Part(false, last.text + part.text));
            } else {
                joined.add(part);
            }
        }
        return new Expression(joined);
    }

    /** Whether the expression has no variables. */
    boolean isLiteral() {
        return parts.stream().noneMatch(Part::variable);
    }

    /** Returns the text of a literal expression. */
    String literal() {
        return parts.stream().map(Part::text).collect(Collectors.joining());
    }

    /** Whether the expression consists of exactly one variable, which is one of these. */
    boolean isVariable(String... names) {
        return parts.size() == 1 && parts.get(0).isVariable(names);
    }

    /** Returns the literal text before the first variable; empty if the expression begins with a variable. */
    String literalPrefix() {
        return parts.isEmpty() || parts.get(0).variable ? "" : parts.get(0).text;
    }

    @Override
    public String toString() {
        return parts.stream()
                .map(part -> part.variable ? "$" + part.text : part.text)
                .collect(Collectors.joining());
    }
}
