package cacheproxy.nginx.importer;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Collectors;

/** A parameter with variables, such as {@code http://$backend$request_uri}. */
record Expression(List<Part> parts) {
    /**
     * A piece of it.
     *
     * @param variable whether {@code text} is a variable's name, without its dollar
     */
    record Part(boolean variable, String text) {}

    static Expression of(String text) {
        List<Part> parts = new ArrayList<>();
        StringBuilder literal = new StringBuilder();
        for (int i = 0; i < text.length(); i++) {
            boolean braced = text.startsWith("${", i);
            int from = braced ? i + 2 : i + 1;
            int to = from;
            while (text.charAt(i) == '$'
                    && to < text.length()
                    && (Character.isLetterOrDigit(text.charAt(to)) || text.charAt(to) == '_')) {
                to++;
            }
            if (text.charAt(i) != '$' || to == from) {
                literal.append(text.charAt(i));
                continue;
            }
            // $1 is one digit: "$12" is the first group and a 2.
            if (!braced && Character.isDigit(text.charAt(from))) {
                to = from + 1;
            }
            if (literal.length() > 0) {
                parts.add(new Part(false, literal.toString()));
                literal.setLength(0);
            }
            parts.add(new Part(true, text.substring(from, to)));
            i = braced ? to : to - 1;
        }
        if (literal.length() > 0) {
            parts.add(new Part(false, literal.toString()));
        }
        return new Expression(parts);
    }

    boolean isLiteral() {
        return parts.stream().noneMatch(Part::variable);
    }

    /** Its text, if it is literal. */
    String literal() {
        return parts.stream().map(Part::text).collect(Collectors.joining());
    }

    /** Whether it is one variable and nothing else. */
    boolean is(String... names) {
        return parts.size() == 1 && parts.get(0).variable && List.of(names).contains(parts.get(0).text);
    }

    /** With neighbouring literals joined. */
    static Expression joined(List<Part> parts) {
        List<Part> out = new ArrayList<>();
        for (Part p : parts) {
            Part last = out.isEmpty() ? null : out.get(out.size() - 1);
            if (last != null && !last.variable && !p.variable) {
                out.set(out.size() - 1, new Part(false, last.text + p.text));
            } else {
                out.add(p);
            }
        }
        return new Expression(out);
    }

    /** Its first part, if that is literal; else empty. */
    String head() {
        return parts.isEmpty() || parts.get(0).variable ? "" : parts.get(0).text;
    }

    @Override
    public String toString() {
        return parts.stream().map(p -> p.variable ? "$" + p.text : p.text).collect(Collectors.joining());
    }
}
