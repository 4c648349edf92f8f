package cacheproxy.proxy.net;

import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/** Writes a bounded number of lines of bounded length to standard error, and drops the rest. */
public final class StandardErrorLog {
    private static final int MAX_LINES = 300;
    private static final int MAX_LINE_BYTES = 500;
    private static final Pattern CONTROL_CHARACTERS = Pattern.compile("\\p{Cntrl}");

    /** Changed on the event loop only. */
    private volatile int linesWritten;

    /** Returns whether a line would still be written; can be called from any thread. */
    public boolean acceptsLines() {
        return linesWritten < MAX_LINES;
    }

    /**
     * Writes a line, without its end; on the event loop only. Control characters become {@code ?}, as a line can quote
     * what a server or discovery has sent.
     */
    @SuppressWarnings("NonAtomicVolatileUpdate") // written on the event loop alone
    public void write(String line) {
        if (acceptsLines()) {
            linesWritten = linesWritten + 1;
            boolean tooLong = line.getBytes(StandardCharsets.UTF_8).length > MAX_LINE_BYTES;
            System.err.println(withoutControlCharacters(tooLong ? line.substring(0, MAX_LINE_BYTES) : line));
        }
    }

    private static String withoutControlCharacters(String line) {
        return CONTROL_CHARACTERS.matcher(line).replaceAll("?");
    }
}
