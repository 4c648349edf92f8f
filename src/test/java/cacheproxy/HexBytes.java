package cacheproxy;

import java.util.HexFormat;

/** Bytes written as hexadecimal digits, in groups that spaces part. */
public final class HexBytes {
    private HexBytes() {}

    /** The bytes of these digits. */
    public static byte[] parse(String digits) {
        return HexFormat.of().parseHex(digits.replaceAll("\\s", ""));
    }
}
