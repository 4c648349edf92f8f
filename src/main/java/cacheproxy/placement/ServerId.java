package cacheproxy.placement;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** The id by which the routing policy identifies a server. */
public final class ServerId {
    private static final int MAX_DIGITS = 8;
    private static final int HEXADECIMAL = 16;

    private ServerId() {}

    /**
     * Returns the id for a server's name, the same at every proxy: the value of up to eight hexadecimal digits after
     * the last hyphen, or else the CRC-32 of the whole name.
     */
    public static int fromName(String name) {
        String digits = name.substring(name.lastIndexOf('-') + 1);
        if (digits.length() <= MAX_DIGITS) {
            try {
                return Integer.parseUnsignedInt(digits, HEXADECIMAL);
            } catch (NumberFormatException e) {
                // The name does not end in a hexadecimal id.
            }
        }
        CRC32 crc = new CRC32();
        crc.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) crc.getValue();
    }
}
