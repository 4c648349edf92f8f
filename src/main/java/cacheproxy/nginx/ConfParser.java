package cacheproxy.nginx;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads a configuration with all that it includes into a tree. Every directive keeps its file, line and column. Bounds:
 * {@value #MAX_FILES} files, {@value #MAX_BYTES} bytes in all, {@value #MAX_DEPTH} blocks and {@value #MAX_INCLUDES}
 * includes in each other.
 */
public final class ConfParser {
    public static final int MAX_FILES = 20_000;
    public static final long MAX_BYTES = 256L << 20;
    public static final int MAX_DEPTH = 64;
    public static final int MAX_INCLUDES = 64;

    private final ConfSource source;
    private final Deque<String> reading = new ArrayDeque<>();
    private final List<Empty> empty = new ArrayList<>();
    private int files;
    private long bytes;

    /** An include whose pattern matches no file, which nginx lets pass. */
    public record Empty(Directive include) {}

    /** A configuration as read. */
    public record Conf(List<Directive> directives, List<Empty> empty, int files, long bytes) {}

    private ConfParser(ConfSource source) {
        this.source = source;
    }

    /** Reads a file and what it includes. */
    public static Conf read(ConfSource source, String file) throws NginxSyntaxException {
        ConfParser parser = new ConfParser(source);
        List<Directive> all = new ArrayList<>();
        parser.file(file, null, all, 0);
        return new Conf(all, parser.empty, parser.files, parser.bytes);
    }

    /** Reads a text that includes nothing. */
    public static List<Directive> parse(String name, String text) throws NginxSyntaxException {
        return read(
                        new ConfSource() {
                            @Override
                            public String read(String path) throws Unreadable {
                                if (!path.equals(name)) {
                                    throw new Unreadable("a text alone can't include files");
                                }
                                return text;
                            }

                            @Override
                            public List<String> glob(String pattern) {
                                return List.of();
                            }
                        },
                        name)
                .directives();
    }

    private void file(String path, Position from, List<Directive> into, int depth) throws NginxSyntaxException {
        if (reading.contains(path)) {
            throw new NginxSyntaxException(
                    from, path + " includes itself: " + String.join(" -> ", way()) + " -> " + path);
        }
        if (reading.size() >= MAX_INCLUDES || ++files > MAX_FILES) {
            throw new NginxSyntaxException(
                    from,
                    "more than "
                            + (reading.size() >= MAX_INCLUDES
                                    ? MAX_INCLUDES + " includes in each other"
                                    : MAX_FILES + " files"));
        }
        String text;
        try {
            text = source.read(path);
        } catch (ConfSource.Unreadable e) {
            String why = "can't read " + path + ": " + e.getMessage();
            throw from == null
                    ? new NginxSyntaxException(path, "can't be read: " + e.getMessage())
                    : new NginxSyntaxException(from, why);
        }
        bytes += text.length();
        if (bytes > MAX_BYTES) {
            throw new NginxSyntaxException(path, "the configuration has more than " + MAX_BYTES + " bytes");
        }
        reading.addLast(path);
        ConfLexer lexer = new ConfLexer(path, text);
        block(lexer, null, into, depth);
        reading.removeLast();
    }

    private List<String> way() {
        return List.copyOf(reading);
    }

    /** Directives up to the block's end, or the file's where {@code open} is null. */
    private void block(ConfLexer lexer, Position open, List<Directive> into, int depth) throws NginxSyntaxException {
        if (depth > MAX_DEPTH) {
            throw new NginxSyntaxException(open, "more than " + MAX_DEPTH + " blocks in each other");
        }
        for (; ; ) {
            ConfLexer.Kind kind = lexer.next();
            switch (kind) {
                case END -> {
                    if (open != null) {
                        throw new NginxSyntaxException(open, "the block that opens here is not closed");
                    }
                    return;
                }
                case CLOSE -> {
                    if (open == null) {
                        throw new NginxSyntaxException(lexer.at(), "unexpected '}': no block is open");
                    }
                    return;
                }
                case SEMICOLON -> throw new NginxSyntaxException(lexer.at(), "unexpected ';': no directive before it");
                case OPEN -> throw new NginxSyntaxException(lexer.at(), "unexpected '{': no directive before it");
                case WORD -> directive(lexer, into, depth);
            }
        }
    }

    private void directive(ConfLexer lexer, List<Directive> into, int depth) throws NginxSyntaxException {
        String name = lexer.word;
        Position at = lexer.at();
        List<String> args = new ArrayList<>();
        for (; ; ) {
            ConfLexer.Kind kind = lexer.next();
            switch (kind) {
                case WORD -> args.add(lexer.word);
                case SEMICOLON -> {
                    Directive d = new Directive(name, args, null, null, at);
                    if (name.equals("include") && args.size() == 1) {
                        include(d, into, depth);
                    } else {
                        into.add(d);
                    }
                    return;
                }
                case OPEN -> {
                    if (name.endsWith("_by_lua_block")) {
                        into.add(new Directive(name, args, List.of(), lexer.rawBlock(), at));
                        return;
                    }
                    List<Directive> inner = new ArrayList<>();
                    block(lexer, lexer.at(), inner, depth + 1);
                    into.add(new Directive(name, args, inner, null, at));
                    return;
                }
                case CLOSE ->
                    throw new NginxSyntaxException(
                            lexer.at(), "unexpected '}': '" + name + "' of line " + at.line() + " ends without ';'");
                case END -> throw new NginxSyntaxException(at, "'" + name + "' is not ended by ';' or a block");
            }
        }
    }

    private void include(Directive d, List<Directive> into, int depth) throws NginxSyntaxException {
        String pattern = d.arg(0);
        if (pattern.indexOf('*') < 0 && pattern.indexOf('?') < 0 && pattern.indexOf('[') < 0) {
            file(pattern, d.at(), into, depth);
            return;
        }
        List<String> found;
        try {
            found = source.glob(pattern);
        } catch (ConfSource.Unreadable e) {
            throw new NginxSyntaxException(d.at(), "can't look for " + pattern + ": " + e.getMessage());
        }
        if (found.isEmpty()) {
            empty.add(new Empty(d));
        }
        for (String path : found) {
            file(path, d.at(), into, depth);
        }
    }
}
