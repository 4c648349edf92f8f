package cacheproxy;

import java.util.HexFormat;

/** Parses bytes written as hexadecimal digits, in groups that are separated by spaces. */
public final class HexBytes {
    private HexBytes() {}

    /** Returns the bytes of these digits. */
    public static byte[] parse(String digits) {
        return HexFormat.of().parseHex(digits.replaceAll("\\s", ""));
    }
}
