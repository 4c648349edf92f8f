package cacheproxy.hooks;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * What a hook is told of a request. Bytes, little-endian: version 1 (u8), flags (u8: 1 write, 2 repeat), remaining
 * milliseconds (u32), then key, class and tenant, each a length (u16) and its bytes.
 *
 * @param remainingMs until the client gives up
 */
public record HookCall(
        String key, String serviceClass, String tenant, boolean write, boolean repeat, long remainingMs) {
    /** The version of this form and of all else that module and host agree on. */
    public static final int ABI = 1;

    /** What a client was told; the number is the place here, from 0. */
    public enum Answer {
        SERVED,
        MISSING,
        REFUSED,
        FAILED,
        REJECTED
    }

    /** The request, and behind it the answer (u8) and the milliseconds that it took (u32). */
    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    byte[] bytes(Answer answer, long elapsedMs) {
        byte[] request = bytes();
        ByteBuffer b = ByteBuffer.allocate(request.length + 5).order(ByteOrder.LITTLE_ENDIAN);
        b.put(request).put((byte) answer.ordinal()).putInt((int) Math.max(0, Math.min(Integer.MAX_VALUE, elapsedMs)));
        return b.array();
    }

    byte[] bytes() {
        byte[] k = key.getBytes(StandardCharsets.UTF_8);
        byte[] c = serviceClass.getBytes(StandardCharsets.UTF_8);
        byte[] t = tenant.getBytes(StandardCharsets.UTF_8);
        ByteBuffer b = ByteBuffer.allocate(12 + k.length + c.length + t.length).order(ByteOrder.LITTLE_ENDIAN);
        b.put((byte) ABI).put((byte) ((write ? 1 : 0) | (repeat ? 2 : 0)));
        b.putInt((int) Math.max(0, Math.min(Integer.MAX_VALUE, remainingMs)));
        for (byte[] part : new byte[][] {k, c, t}) {
            b.putShort((short) part.length).put(part);
        }
        return b.array();
    }
}
