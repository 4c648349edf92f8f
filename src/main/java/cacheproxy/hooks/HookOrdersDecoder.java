package cacheproxy.hooks;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Decodes a sequence of little-endian orders, each a tag (u8), a length (u16) and as many bytes as the length says.
 * Tags: 1 key, 2 class, 3 tenant, 4 route, 5 refuse (u32, milliseconds), 6 note for the log, 7 remaining milliseconds
 * (u32). A repeated or unknown tag invalidates all orders.
 */
final class HookOrdersDecoder {
    private static final int KEY = 1;
    private static final int SERVICE_CLASS = 2;
    private static final int TENANT = 3;
    private static final int ROUTE = 4;
    private static final int REFUSE_MS = 5;
    private static final int NOTE = 6;
    private static final int REMAINING_MS = 7;
    private static final int TAG_COUNT = 8;

    private static final long MAX_MS = 3_600_000;

    private final ByteBuffer input;
    private final String[] texts = new String[TAG_COUNT];
    private final long[] durationsMs = new long[TAG_COUNT];
    /** The tags that were decoded so far, one bit each. */
    private int seenTags;

    private HookOrdersDecoder(byte[] bytes) {
        input = ByteBuffer.wrap(bytes).order(ByteOrder.LITTLE_ENDIAN);
    }

    /**
     * Decodes a hook's orders.
     *
     * @throws HookException if the orders are malformed; none of them is to be carried out in that case
     */
    static HookOrders decode(byte[] bytes) throws HookException {
        HookOrdersDecoder decoder = new HookOrdersDecoder(bytes);
        while (decoder.input.hasRemaining()) {
            decoder.readOrder();
        }
        return decoder.orders();
    }

    private HookOrders orders() {
        String note = texts[NOTE] == null ? null : HookOrders.sanitize(texts[NOTE]);
        return new HookOrders(
                texts[KEY],
                texts[SERVICE_CLASS],
                texts[TENANT],
                texts[ROUTE],
                durationsMs[REFUSE_MS],
                note,
                durationsMs[REMAINING_MS]);
    }

    private void readOrder() throws HookException {
        int tag = input.get() & 0xFF;
        int length = input.remaining() >= Short.BYTES ? input.getShort() & 0xFFFF : -1;
        if (length < 0 || length > input.remaining()) {
            throw new HookException("an order ends too early");
        }
        if (tag < 1 || tag >= TAG_COUNT) {
            throw new HookException("order " + tag + " is not known");
        }
        if ((seenTags & 1 << tag) != 0) {
            throw new HookException("order " + tag + " comes twice");
        }
        seenTags |= 1 << tag;
        if (tag == REFUSE_MS || tag == REMAINING_MS) {
            durationsMs[tag] = readDurationMs(tag, length);
        } else {
            texts[tag] = readText(tag, length);
        }
    }

    private long readDurationMs(int tag, int length) throws HookException {
        if (length != Integer.BYTES) {
            throw new HookException("order " + tag + " has " + length + " bytes; 4 are wanted");
        }
        long durationMs = Integer.toUnsignedLong(input.getInt());
        if (durationMs < 1 || durationMs > MAX_MS) {
            throw new HookException("order " + tag + " is " + durationMs + " ms; 1 to " + MAX_MS + " are taken");
        }
        return durationMs;
    }

    private String readText(int tag, int length) throws HookException {
        ByteBuffer text = input.slice(input.position(), length);
        input.position(input.position() + length);
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(text).toString();
        } catch (CharacterCodingException e) {
            throw new HookException("order " + tag + " is no UTF-8");
        }
    }
}
