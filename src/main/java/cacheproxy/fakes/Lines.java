package cacheproxy.fakes;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** Parses lines of the text protocols, independently of the proxy's own codecs. */
final class Lines {
    private Lines() {}

    /** Reads a line without its terminator; returns null and consumes nothing if the line is incomplete. */
    static String readLine(ByteBuf in) {
        int end = in.indexOf(in.readerIndex(), in.writerIndex(), (byte) '\n');
        if (end < 0) {
            return null;
        }
        int length = end - in.readerIndex();
        int textLength = length > 0 && in.getByte(end - 1) == '\r' ? length - 1 : length;
        String line = in.toString(in.readerIndex(), textLength, StandardCharsets.ISO_8859_1);
        in.readerIndex(end + 1);
        return line;
    }

    /**
     * Returns the rest of the first word that begins with {@code letter}, starting at the third word; null if there is
     * none.
     */
    static String flag(String line, char letter) {
        int position = line.indexOf(' ', line.indexOf(' ') + 1);
        while (position >= 0 && position + 1 < line.length()) {
            int end = line.indexOf(' ', position + 1);
            if (line.charAt(position + 1) == letter) {
                return line.substring(position + 2, end < 0 ? line.length() : end);
            }
            position = end;
        }
        return null;
    }

    /** Returns the value of a name in a list such as {@code c=read,d=480}; null if the name is absent. */
    static String listValue(String list, String name) {
        for (String pair : list == null ? new String[0] : list.split(",")) {
            if (pair.startsWith(name + "=")) {
                return pair.substring(name.length() + 1);
            }
        }
        return null;
    }
}
