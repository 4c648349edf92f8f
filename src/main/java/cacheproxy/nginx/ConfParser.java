package cacheproxy.nginx;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/**
 * Reads a configuration and all files that it includes into a tree of directives. Limits: {@value #MAX_FILES} files,
 * {@value #MAX_BYTES} bytes in total, {@value #MAX_BLOCK_DEPTH} nested blocks and {@value #MAX_INCLUDE_DEPTH} nested
 * includes.
 */
public final class ConfParser {
    /** The maximum number of files of a configuration; a file that is included twice counts twice. */
    public static final int MAX_FILES = 20_000;

    /** The maximum size of all files together, in bytes. */
    public static final long MAX_BYTES = 256L << 20;

    /** The maximum nesting depth of blocks. */
    public static final int MAX_BLOCK_DEPTH = 64;

    /** The maximum nesting depth of includes. */
    public static final int MAX_INCLUDE_DEPTH = 64;

    private static final String LUA_BLOCK_SUFFIX = "_by_lua_block";

    private final ConfSource source;
    /** The files that are being read, each included by the one before it. */
    private final Deque<String> openFiles = new ArrayDeque<>();

    private final List<EmptyInclude> emptyIncludes = new ArrayList<>();
    private int fileCount;
    private long byteCount;

    /** An include whose pattern matches no file, which nginx accepts. */
    public record EmptyInclude(Directive include) {}

    /**
     * A parsed configuration.
     *
     * @param directives the tree; each include is replaced by the directives of its files
     * @param emptyIncludes includes whose pattern matched no file
     * @param fileCount number of files read
     * @param byteCount total size of the files
     */
    public record Conf(List<Directive> directives, List<EmptyInclude> emptyIncludes, int fileCount, long byteCount) {}

    private ConfParser(ConfSource source) {
        this.source = source;
    }

    /**
     * Reads a file and the files that it includes.
     *
     * @throws NginxSyntaxException if a file can't be read, is malformed or exceeds a limit
     */
    public static Conf read(ConfSource source, String file) throws NginxSyntaxException {
        ConfParser parser = new ConfParser(source);
        List<Directive> directives = new ArrayList<>();
        parser.readFile(file, null, directives, 0);
        return new Conf(directives, parser.emptyIncludes, parser.fileCount, parser.byteCount);
    }

    /**
     * Parses a text without includes.
     *
     * @param name the file name in positions
     * @throws NginxSyntaxException if the text is malformed, exceeds a limit or includes a file
     */
    public static List<Directive> parse(String name, String text) throws NginxSyntaxException {
        return read(new SingleText(name, text), name).directives();
    }

    /** A source that has a single text and no files. */
    private record SingleText(String name, String text) implements ConfSource {
        @Override
        public String read(String path) throws UnreadableFileException {
            if (!path.equals(name)) {
                throw new UnreadableFileException("a text alone can't include files");
            }
            return text;
        }

        @Override
        public List<String> glob(String pattern) {
            return List.of();
        }
    }

    /**
     * Reads a file.
     *
     * @param includedAt position of the include directive; null for the main file
     * @param blockDepth number of blocks around the include
     */
    private void readFile(String path, Position includedAt, List<Directive> into, int blockDepth)
            throws NginxSyntaxException {
        checkInclude(path, includedAt);
        String text = readText(path, includedAt);
        byteCount += text.length();
        if (byteCount > MAX_BYTES) {
            throw new NginxSyntaxException(path, "the configuration has more than " + MAX_BYTES + " bytes");
        }
        openFiles.addLast(path);
        readBlock(new ConfLexer(path, text), null, into, blockDepth);
        openFiles.removeLast();
    }

    private void checkInclude(String path, Position includedAt) throws NginxSyntaxException {
        if (openFiles.contains(path)) {
            throw new NginxSyntaxException(
                    includedAt, path + " includes itself: " + String.join(" -> ", openFiles) + " -> " + path);
        }
        if (openFiles.size() >= MAX_INCLUDE_DEPTH) {
            throw new NginxSyntaxException(includedAt, "more than " + MAX_INCLUDE_DEPTH + " includes in each other");
        }
        fileCount++;
        if (fileCount > MAX_FILES) {
            throw new NginxSyntaxException(includedAt, "more than " + MAX_FILES + " files");
        }
    }

    private String readText(String path, Position includedAt) throws NginxSyntaxException {
        try {
            return source.read(path);
        } catch (ConfSource.UnreadableFileException e) {
            throw includedAt == null
                    ? new NginxSyntaxException(path, "can't be read: " + e.getMessage())
                    : new NginxSyntaxException(includedAt, "can't read " + path + ": " + e.getMessage());
        }
    }

    /**
     * Reads directives up to the end of a block or file.
     *
     * @param open position of the block's opening brace; null for a file
     */
    private void readBlock(ConfLexer lexer, Position open, List<Directive> into, int blockDepth)
            throws NginxSyntaxException {
        if (blockDepth > MAX_BLOCK_DEPTH) {
            throw new NginxSyntaxException(open, "more than " + MAX_BLOCK_DEPTH + " blocks in each other");
        }
        for (; ; ) {
            ConfLexer.Kind kind = lexer.next();
            switch (kind) {
                case WORD -> readDirective(lexer, into, blockDepth);
                case END_OF_FILE -> {
                    if (open != null) {
                        throw new NginxSyntaxException(open, "the block that opens here is not closed");
                    }
                    return;
                }
                case CLOSE_BRACE -> {
                    if (open == null) {
                        throw new NginxSyntaxException(lexer.tokenPosition(), "unexpected '}': no block is open");
                    }
                    return;
                }
                case SEMICOLON ->
                    throw new NginxSyntaxException(lexer.tokenPosition(), "unexpected ';': no directive before it");
                case OPEN_BRACE ->
                    throw new NginxSyntaxException(lexer.tokenPosition(), "unexpected '{': no directive before it");
                default -> throw new IllegalStateException("unknown token " + kind);
            }
        }
    }

    /** Reads a directive whose name is the lexer's last word. */
    private void readDirective(ConfLexer lexer, List<Directive> into, int blockDepth) throws NginxSyntaxException {
        String name = lexer.word();
        Position position = lexer.tokenPosition();
        List<String> args = new ArrayList<>();
        for (; ; ) {
            ConfLexer.Kind kind = lexer.next();
            switch (kind) {
                case WORD -> args.add(lexer.word());
                case SEMICOLON -> {
                    addSimple(new Directive(name, args, null, null, position), into, blockDepth);
                    return;
                }
                case OPEN_BRACE -> {
                    into.add(blockDirective(lexer, name, args, position, blockDepth));
                    return;
                }
                case CLOSE_BRACE ->
                    throw new NginxSyntaxException(
                            lexer.tokenPosition(),
                            "unexpected '}': '" + name + "' of line " + position.line() + " ends without ';'");
                case END_OF_FILE ->
                    throw new NginxSyntaxException(position, "'" + name + "' is not ended by ';' or a block");
                default -> throw new IllegalStateException("unknown token " + kind);
            }
        }
    }

    private Directive blockDirective(ConfLexer lexer, String name, List<String> args, Position position, int blockDepth)
            throws NginxSyntaxException {
        if (name.endsWith(LUA_BLOCK_SUFFIX)) {
            return new Directive(name, args, List.of(), lexer.rawBlock(), position);
        }
        List<Directive> inner = new ArrayList<>();
        readBlock(lexer, lexer.tokenPosition(), inner, blockDepth + 1);
        return new Directive(name, args, inner, null, position);
    }

    private void addSimple(Directive directive, List<Directive> into, int blockDepth) throws NginxSyntaxException {
        if (directive.name().equals("include") && directive.args().size() == 1) {
            include(directive, into, blockDepth);
        } else {
            into.add(directive);
        }
    }

    private void include(Directive include, List<Directive> into, int blockDepth) throws NginxSyntaxException {
        String pattern = include.arg(0);
        boolean isPattern = pattern.chars().anyMatch(character -> "*?[".indexOf(character) >= 0);
        if (!isPattern) {
            readFile(pattern, include.position(), into, blockDepth);
            return;
        }
        List<String> found;
        try {
            found = source.glob(pattern);
        } catch (ConfSource.UnreadableFileException e) {
            throw new NginxSyntaxException(include.position(), "can't look for " + pattern + ": " + e.getMessage());
        }
        if (found.isEmpty()) {
            emptyIncludes.add(new EmptyInclude(include));
        }
        for (String path : found) {
            readFile(path, include.position(), into, blockDepth);
        }
    }
}
