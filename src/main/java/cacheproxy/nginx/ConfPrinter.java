package cacheproxy.nginx;

import java.util.List;

/** Writes a tree so that reading it again gives an equal one. */
public final class ConfPrinter {
    private ConfPrinter() {}

    public static String print(List<Directive> directives) {
        StringBuilder out = new StringBuilder();
        print(directives, "", out);
        return out.toString();
    }

    private static void print(List<Directive> directives, String indent, StringBuilder out) {
        for (Directive d : directives) {
            out.append(indent).append(word(d.name()));
            d.args().forEach(a -> out.append(' ').append(word(a)));
            if (d.raw() != null) {
                out.append(" {").append(d.raw()).append("}\n");
            } else if (d.block() == null) {
                out.append(";\n");
            } else {
                out.append(" {\n");
                print(d.block(), indent + "    ", out);
                out.append(indent).append("}\n");
            }
        }
    }

    private static String word(String text) {
        boolean plain =
                !text.isEmpty() && text.chars().allMatch(c -> c > ' ' && c != 0x7F && "\"'\\{};#".indexOf(c) < 0);
        if (plain) {
            return text;
        }
        StringBuilder out = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            switch (c) {
                case '"' -> out.append("\\\"");
                case '\t' -> out.append("\\t");
                case '\r' -> out.append("\\r");
                case '\n' -> out.append("\\n");
                case '\\' -> out.append("\\\\");
                default -> out.append(c);
            }
        }
        return out.append('"').toString();
    }
}
