package cacheproxy.nginx;

import java.util.List;

/**
 * A directive with its parameters, and with what stands between its braces. Parameters are as nginx gets them: without
 * quotes, escapes of quotes, backslashes, tabs and line ends resolved. Two are equal if they say the same, wherever
 * they stand.
 *
 * @param block null where it ends with a semicolon
 * @param raw the text of a block that is of another grammar (Lua); null for others
 */
public record Directive(String name, List<String> args, List<Directive> block, String raw, Position at) {
    public Directive {
        args = List.copyOf(args);
        block = block == null ? null : List.copyOf(block);
    }

    /** A parameter; empty where there is none. */
    public String arg(int i) {
        return i < args.size() ? args.get(i) : "";
    }

    /** Those of a name directly in its block. */
    public List<Directive> all(String wanted) {
        return block == null
                ? List.of()
                : block.stream().filter(d -> d.name.equals(wanted)).toList();
    }

    /** The last of a name directly in its block; null where there is none. */
    public Directive last(String wanted) {
        for (int i = block == null ? -1 : block.size() - 1; i >= 0; i--) {
            if (block.get(i).name.equals(wanted)) {
                return block.get(i);
            }
        }
        return null;
    }

    @Override
    public boolean equals(Object o) {
        return o instanceof Directive d
                && name.equals(d.name)
                && args.equals(d.args)
                && java.util.Objects.equals(block, d.block)
                && java.util.Objects.equals(raw, d.raw);
    }

    @Override
    public int hashCode() {
        return name.hashCode() * 31 + args.hashCode();
    }

    /** As it begins, for reports: name and parameters. */
    @Override
    public String toString() {
        return args.isEmpty() ? name : name + " " + String.join(" ", args);
    }
}
