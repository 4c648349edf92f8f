package cacheproxy.nginx;

import java.util.List;
import java.util.Objects;

/**
 * A directive with its parameters and its block. Parameters have the form in which nginx processes them: without
 * quotes, with escapes of quotes, backslashes, tabs and line breaks resolved. Equality ignores the position.
 *
 * @param args the parameters, without the directive's name
 * @param block the directives between its braces; null if it ends with a semicolon
 * @param rawBlock the text of a block in another grammar (Lua); null for other directives
 * @param position where the directive begins
 */
public record Directive(String name, List<String> args, List<Directive> block, String rawBlock, Position position) {
    /** Copies the lists. */
    public Directive {
        args = List.copyOf(args);
        block = block == null ? null : List.copyOf(block);
    }

    /** Returns the parameter at an index, counted from 0; empty if there is none. */
    public String arg(int index) {
        return index < args.size() ? args.get(index) : "";
    }

    /** Returns the last parameter; empty if there is none. */
    public String lastArg() {
        return args.isEmpty() ? "" : args.get(args.size() - 1);
    }

    /** Returns the directives with a name that are directly in this directive's block. */
    public List<Directive> childrenNamed(String childName) {
        return block == null
                ? List.of()
                : block.stream()
                        .filter(directive -> directive.name.equals(childName))
                        .toList();
    }

    /** Returns the last directive with a name that is directly in this directive's block; null if there is none. */
    public Directive lastChildNamed(String childName) {
        for (int i = block == null ? -1 : block.size() - 1; i >= 0; i--) {
            if (block.get(i).name.equals(childName)) {
                return block.get(i);
            }
        }
        return null;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Directive directive
                && name.equals(directive.name)
                && args.equals(directive.args)
                && Objects.equals(block, directive.block)
                && Objects.equals(rawBlock, directive.rawBlock);
    }

    @Override
    public int hashCode() {
        return name.hashCode() * 31 + args.hashCode();
    }

    /** Returns the name and the parameters, for reports. */
    @Override
    public String toString() {
        return args.isEmpty() ? name : name + " " + String.join(" ", args);
    }
}
