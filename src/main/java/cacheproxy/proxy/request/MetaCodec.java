package cacheproxy.proxy.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The grammar of the meta text protocol, shared by the sides of clients and of cache nodes. */
public final class MetaCodec {
    /** The longest value the protocol has. */
    public static final int MAX_VALUE_BYTES = 4 << 20;
    /** Answers up to this size are passed on whole, longer ones as they come. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 << 10;

    public static final int MAX_LINE_BYTES = 4096;
    /** A line's end, as a big-endian short. */
    public static final int CRLF = '\r' << 8 | '\n';

    public static final String FAILED_LINE = "SERVER_ERROR failed\r\n";
    public static final String BUSY_PREFIX = "SERVER_ERROR busy";

    private MetaCodec() {}

    /** Input that is not the protocol's. */
    public static final class SyntaxException extends Exception {
        private static final long serialVersionUID = 1L;

        public SyntaxException(String message) {
            super(message, null, false, false);
        }
    }

    /** Takes one line off the input, without its end; null while it is not all there. */
    public static String readLine(ByteBuf in) throws SyntaxException {
        int start = in.readerIndex();
        int end = in.indexOf(start, Math.min(in.writerIndex(), start + MAX_LINE_BYTES), (byte) '\n');
        if (end < 0) {
            if (in.readableBytes() >= MAX_LINE_BYTES) {
                throw new SyntaxException("line too long");
            }
            return null;
        }
        int length = end - start;
        if (length > 0 && in.getByte(end - 1) == '\r') {
            length--;
        }
        String line = in.toString(start, length, StandardCharsets.ISO_8859_1);
        in.readerIndex(end + 1);
        return line;
    }

    /** A decimal length between 0 and the longest value. */
    public static int parseLength(String word) throws SyntaxException {
        int n = 0;
        for (int i = 0; i < word.length(); i++) {
            int digit = word.charAt(i) - '0';
            if (digit < 0 || digit > 9 || n > MAX_VALUE_BYTES) {
                throw new SyntaxException("bad data length");
            }
            n = 10 * n + digit;
        }
        if (word.isEmpty() || n > MAX_VALUE_BYTES) {
            throw new SyntaxException("bad data length");
        }
        return n;
    }

    /** Whether a line is of printing ASCII characters and spaces alone. */
    public static boolean isPrintable(String line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ' || line.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    public static String tokenAt(String line, int start) {
        int end = line.indexOf(' ', start);
        return start >= line.length() ? "" : line.substring(start, end < 0 ? line.length() : end);
    }

    /** The flag that begins with this letter, without the letter; null if the line has none from there on. */
    public static String flag(String line, int from, char letter) {
        int at = flagValueIndex(line, from, letter);
        return at < 0 ? null : tokenAt(line, at);
    }

    /** Whether the flag that begins with this letter says just this. */
    public static boolean hasFlag(String line, int from, char letter, String value) {
        int at = flagValueIndex(line, from, letter);
        int end = at + value.length();
        return at >= 0 && line.startsWith(value, at) && (end == line.length() || line.charAt(end) == ' ');
    }

    /** Where the first flag of this letter has its value; -1 if there is none. */
    private static int flagValueIndex(String line, int from, char letter) {
        for (int at = from; at >= 0 && at < line.length(); at++) {
            if (line.charAt(at) == letter) {
                return at + 1;
            }
            at = line.indexOf(' ', at);
            if (at < 0) {
                break;
            }
        }
        return -1;
    }

    /** The value under this name in a list such as {@code c=read,d=480}; null if it is not there. */
    public static String attribute(String list, String name) {
        int at = attributeValueIndex(list, name);
        if (at < 0) {
            return null;
        }
        int end = list.indexOf(',', at);
        return list.substring(at, end < 0 ? list.length() : end);
    }

    /** Where the value under this name begins in a list, or -1. */
    public static int attributeValueIndex(String list, String name) {
        for (int at = 0; at >= 0 && at < list.length(); at = list.indexOf(',', at) + 1) {
            if (list.startsWith(name, at) && list.startsWith("=", at + name.length())) {
                return at + name.length() + 1;
            }
            if (list.indexOf(',', at) < 0) {
                break;
            }
        }
        return -1;
    }

    /** A load report as the module takes it; null where there is none or a figure is not one. */
    public static float[] parseLoadReport(String list, List<String> names) {
        if (list == null || names.isEmpty()) {
            return null;
        }
        float[] report = new float[Math.min(4, names.size())];
        for (int i = 0; i < report.length; i++) {
            String value = attribute(list, names.get(i));
            if (value == null) {
                return null;
            }
            try {
                report[i] = Float.parseFloat(value);
            } catch (NumberFormatException e) {
                return null;
            }
        }
        return report;
    }

    /** Writes a figure of 0 or more without a string in between. */
    public static void writeDecimal(ByteBuf out, int n) {
        int power = 1;
        while (n / power >= 10) {
            power *= 10;
        }
        for (; power > 0; power /= 10) {
            out.writeByte('0' + n / power % 10);
        }
    }

    public static ByteBuf ascii(ByteBufAllocator alloc, String text) {
        ByteBuf buf = alloc.buffer(text.length() + 2);
        ByteBufUtil.writeAscii(buf, text);
        return buf;
    }
}
