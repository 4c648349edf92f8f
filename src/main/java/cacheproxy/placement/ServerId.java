package cacheproxy.placement;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;

/** The number under which the module knows a server. */
public final class ServerId {
    private ServerId() {}

    /** From a name, alike at every proxy: the hexadecimal digits behind its last hyphen, else its CRC-32. */
    public static int fromName(String name) {
        String digits = name.substring(name.lastIndexOf('-') + 1);
        try {
            if (digits.length() <= 8) {
                return Integer.parseUnsignedInt(digits, 16);
            }
        } catch (NumberFormatException e) {
            // not of that form
        }
        CRC32 sum = new CRC32();
        sum.update(name.getBytes(StandardCharsets.UTF_8));
        return (int) sum.getValue();
    }
}
