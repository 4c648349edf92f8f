package cacheproxy.nginx;

import java.util.List;

/** Writes a tree of directives as a configuration file. */
public final class ConfPrinter {
    private static final String INDENT = "    ";
    private static final char DELETE = 0x7F;

    private ConfPrinter() {}

    /** Returns the text of these directives; {@link ConfParser#parse} turns it into an equal tree. */
    public static String print(List<Directive> directives) {
        StringBuilder out = new StringBuilder();
        print(directives, "", out);
        return out.toString();
    }

    private static void print(List<Directive> directives, String indent, StringBuilder out) {
        for (Directive directive : directives) {
            out.append(indent).append(quotedIfNeeded(directive.name()));
            directive.args().forEach(argument -> out.append(' ').append(quotedIfNeeded(argument)));
            if (directive.rawBlock() != null) {
                out.append(" {").append(directive.rawBlock()).append("}\n");
            } else if (directive.block() == null) {
                out.append(";\n");
            } else {
                out.append(" {\n");
                print(directive.block(), indent + INDENT, out);
                out.append(indent).append("}\n");
            }
        }
    }

    private static String quotedIfNeeded(String text) {
        boolean plain = !text.isEmpty() && text.chars().allMatch(ConfPrinter::isPlain);
        if (plain) {
            return text;
        }
        StringBuilder out = new StringBuilder("\"");
        for (int i = 0; i < text.length(); i++) {
            char character = text.charAt(i);
            switch (character) {
                case '"' -> out.append("\\\"");
                case '\t' -> out.append("\\t");
                case '\r' -> out.append("\\r");
                case '\n' -> out.append("\\n");
                case '\\' -> out.append("\\\\");
                default -> out.append(character);
            }
        }
        return out.append('"').toString();
    }

    private static boolean isPlain(int character) {
        return character > ' ' && character != DELETE && "\"'\\{};#".indexOf(character) < 0;
    }
}
