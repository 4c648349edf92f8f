package cacheproxy.proxy.request;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** The grammar of the meta text protocol, for clients and for cache servers. */
public final class MetaCodec {
    /** The longest value of the protocol. */
    public static final int MAX_VALUE_BYTES = 4 << 20;
    /** Values up to this size are forwarded as a whole, longer ones in parts as they arrive. */
    public static final int MAX_BUFFERED_VALUE_BYTES = 64 << 10;
    /** The longest line, with its end. */
    public static final int MAX_LINE_BYTES = 4096;
    /** The end of a line, as a big-endian short. */
    public static final int CRLF = '\r' << 8 | '\n';
    /** The response to a request that failed, with the line's end. */
    public static final String FAILED_LINE = "SERVER_ERROR failed\r\n";
    /** The start of the response to a rejected request. */
    public static final String BUSY_PREFIX = "SERVER_ERROR busy";

    /** The longest receipt of a write, in characters: with it the line to the client stays within a line's length. */
    public static final int MAX_RECEIPT_LENGTH = 1024;

    /** The maximum number of metrics in a load report. */
    private static final int MAX_REPORT_METRICS = 4;

    private MetaCodec() {}

    /**
     * Thrown for input that violates the protocol; the message says what is wrong. The exception has no stack trace.
     */
    public static final class SyntaxException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates an exception whose message says what is wrong. */
        public SyntaxException(String message) {
            super(message, null, false, false);
        }
    }

    /**
     * Skips one line; returns false, and skips nothing, if it has not arrived completely.
     *
     * @throws SyntaxException if the line is too long
     */
    public static boolean skipLine(ByteBuf input) throws SyntaxException {
        int end = lineEnd(input);
        if (end >= 0) {
            input.readerIndex(end + 1);
        }
        return end >= 0;
    }

    /** The index of the end of the line that begins at the reader index; -1 if it has not arrived. */
    private static int lineEnd(ByteBuf input) throws SyntaxException {
        int start = input.readerIndex();
        int end = input.indexOf(start, Math.min(input.writerIndex(), start + MAX_LINE_BYTES), (byte) '\n');
        if (end < 0 && input.readableBytes() >= MAX_LINE_BYTES) {
            throw new SyntaxException("line too long");
        }
        return end;
    }

    /**
     * Reads one line.
     *
     * @return the line without its end; null if it has not arrived completely
     * @throws SyntaxException if the line is too long
     */
    public static String readLine(ByteBuf input) throws SyntaxException {
        int start = input.readerIndex();
        int end = lineEnd(input);
        if (end < 0) {
            return null;
        }
        int length = end - start;
        if (length > 0 && input.getByte(end - 1) == '\r') {
            length--;
        }
        String line = input.toString(start, length, StandardCharsets.ISO_8859_1);
        input.readerIndex(end + 1);
        return line;
    }

    /**
     * Parses the length of a value.
     *
     * @throws SyntaxException if it is not a decimal number from 0 to {@link #MAX_VALUE_BYTES}
     */
    public static int parseLength(String digits) throws SyntaxException {
        int length = 0;
        for (int i = 0; i < digits.length(); i++) {
            int digit = digits.charAt(i) - '0';
            if (digit < 0 || digit > 9 || length > MAX_VALUE_BYTES) {
                throw new SyntaxException("bad data length");
            }
            length = 10 * length + digit;
        }
        if (digits.isEmpty() || length > MAX_VALUE_BYTES) {
            throw new SyntaxException("bad data length");
        }
        return length;
    }

    /** Returns whether the line consists of printable ASCII characters and spaces only. */
    public static boolean isPrintable(String line) {
        for (int i = 0; i < line.length(); i++) {
            if (line.charAt(i) < ' ' || line.charAt(i) > '~') {
                return false;
            }
        }
        return true;
    }

    /**
     * Returns whether the text can be the receipt of a write: one word of 1 to {@link #MAX_RECEIPT_LENGTH} printable
     * ASCII characters. White space around it does not belong to a receipt either.
     */
    public static boolean isReceipt(String text) {
        return !text.isEmpty() && text.length() <= MAX_RECEIPT_LENGTH && text.indexOf(' ') < 0 && isPrintable(text);
    }

    /** Returns whether the text, which includes the line's end, is exactly one line. */
    public static boolean isOneLine(String text) {
        int end = text.length() - 2;
        return end >= 0 && text.indexOf('\r') == end && text.indexOf('\n') == end + 1;
    }

    /**
     * The token from this index to the next space or the line's end; empty if the index is past the end of the line.
     */
    public static String tokenAt(String line, int start) {
        int end = line.indexOf(' ', start);
        return start >= line.length() ? "" : line.substring(start, end < 0 ? line.length() : end);
    }

    /** The argument of the first flag with this letter from the index on; null if there is none. */
    public static String flagArgument(String line, int from, char letter) {
        int index = flagArgumentIndex(line, from, letter);
        return index < 0 ? null : tokenAt(line, index);
    }

    /** Returns whether the first flag with this letter from the index on has this argument. */
    public static boolean hasFlag(String line, int from, char letter, String argument) {
        int index = flagArgumentIndex(line, from, letter);
        int end = index + argument.length();
        return index >= 0 && line.startsWith(argument, index) && (end == line.length() || line.charAt(end) == ' ');
    }

    /** The index of the argument of the first flag with this letter; -1 if there is none. */
    private static int flagArgumentIndex(String line, int from, char letter) {
        int index = from;
        while (index >= 0 && index < line.length()) {
            if (line.charAt(index) == letter) {
                return index + 1;
            }
            int space = line.indexOf(' ', index);
            index = space < 0 ? -1 : space + 1;
        }
        return -1;
    }

    /** The value of the attribute with this name in attributes such as {@code c=read,d=480}; null if there is none. */
    public static String attribute(String attributes, String name) {
        int start = attributeValueIndex(attributes, name);
        if (start < 0) {
            return null;
        }
        int end = attributes.indexOf(',', start);
        return attributes.substring(start, end < 0 ? attributes.length() : end);
    }

    /** The index at which the value of the attribute with this name begins; -1 if there is none. */
    public static int attributeValueIndex(String attributes, String name) {
        int start = 0;
        while (start >= 0 && start < attributes.length()) {
            if (attributes.startsWith(name, start) && attributes.startsWith("=", start + name.length())) {
                return start + name.length() + 1;
            }
            int comma = attributes.indexOf(',', start);
            start = comma < 0 ? -1 : comma + 1;
        }
        return -1;
    }

    /**
     * Parses the metrics of a load report, in the order of the names; returns null if one is missing or not a number.
     */
    public static float[] parseLoadReport(String attributes, List<String> names) {
        if (attributes == null || names.isEmpty()) {
            return null;
        }
        float[] report = new float[Math.min(MAX_REPORT_METRICS, names.size())];
        for (int i = 0; i < report.length; i++) {
            String value = attribute(attributes, names.get(i));
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

    /** Writes a non-negative number in decimal digits, without creating a string. */
    public static void writeDecimal(ByteBuf output, int number) {
        int power = 1;
        while (number / power >= 10) {
            power *= 10;
        }
        for (; power > 0; power /= 10) {
            output.writeByte('0' + number / power % 10);
        }
    }

    /** Returns a new buffer with the text, which must be ASCII. */
    public static ByteBuf ascii(ByteBufAllocator allocator, String text) {
        ByteBuf buffer = allocator.buffer(text.length() + 2);
        ByteBufUtil.writeAscii(buffer, text);
        return buffer;
    }
}
