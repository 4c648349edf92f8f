package cacheproxy.hooks;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * What a hook orders; null where it orders nothing. Bytes, little-endian: orders one after another, each a tag (u8), a
 * length (u16) and so many bytes. Tags: 1 key, 2 class, 3 tenant, 4 route, 5 refuse (u32, milliseconds), 6 note for the
 * log, 7 remaining milliseconds (u32). A tag twice, or one that is not known, makes all of them void.
 *
 * @param refuseMs 0: not refused
 * @param remainingMs 0: as it was
 */
public record HookOrders(
        String key, String serviceClass, String tenant, String route, long refuseMs, String note, long remainingMs) {
    public static final HookOrders NONE = new HookOrders(null, null, null, null, 0, null, 0);
    /** All orders together. */
    static final int MAX_BYTES = 2048;

    private static final int MAX_NOTE = 200;
    private static final long HOUR_MS = 3_600_000;

    static HookOrders read(byte[] bytes) throws HookException {
        String[] texts = new String[7];
        long[] numbers = new long[8];
        ByteBuffer b = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
        int seen = 0;
        while (b.hasRemaining()) {
            int tag = b.get() & 255;
            int length = b.remaining() >= 2 ? b.getShort() & 0xFFFF : -1;
            if (length < 0 || length > b.remaining()) {
                throw new HookException("an order ends too early");
            }
            if (tag < 1 || tag > 7 || (seen & 1 << tag) != 0) {
                throw new HookException(
                        tag < 1 || tag > 7 ? "order " + tag + " is not known" : "order " + tag + " comes twice");
            }
            seen |= 1 << tag;
            if (tag == 5 || tag == 7) {
                if (length != 4) {
                    throw new HookException("order " + tag + " has " + length + " bytes; 4 are wanted");
                }
                numbers[tag] = b.getInt() & 0xFFFFFFFFL;
                if (numbers[tag] < 1 || numbers[tag] > HOUR_MS) {
                    throw new HookException(
                            "order " + tag + " is " + numbers[tag] + " ms; 1 to " + HOUR_MS + " are taken");
                }
                continue;
            }
            ByteBuffer part = b.slice(b.position(), length);
            b.position(b.position() + length);
            try {
                texts[tag] = StandardCharsets.UTF_8.newDecoder().decode(part).toString();
            } catch (CharacterCodingException e) {
                throw new HookException("order " + tag + " is no UTF-8");
            }
        }
        String note = texts[6] == null ? null : clean(texts[6]);
        return new HookOrders(texts[1], texts[2], texts[3], texts[4], numbers[5], note, numbers[7]);
    }

    /** Fit for one line of the log. */
    static String clean(String text) {
        String cut = text.length() > MAX_NOTE ? text.substring(0, MAX_NOTE) : text;
        return cut.replaceAll("[^ -~]", "?");
    }
}
