package cacheproxy.hooks;

import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;

/**
 * The attributes of a request that a hook receives. They are encoded little-endian: version 1 (u8), flags (u8: 1 write,
 * 2 repeat), remaining milliseconds (u32), then key, class and tenant, each as a length (u16) followed by its bytes.
 *
 * @param key the key of the requested object
 * @param serviceClass name of the request's class
 * @param tenant name of the request's tenant; empty if there are no tenants
 * @param write whether the request may change the object
 * @param repeat whether the client has sent the request before
 * @param remainingMs the time until the client gives up
 */
public record HookCall(
        String key, String serviceClass, String tenant, boolean write, boolean repeat, long remainingMs) {
    private static final int FLAG_WRITE = 1;
    private static final int FLAG_REPEAT = 2;
    /** Size of the version, the flags, the remaining milliseconds and the lengths of three texts. */
    private static final int FIXED_BYTES = 2 * Byte.BYTES + Integer.BYTES + 3 * Short.BYTES;
    /** Size of the answer and of the milliseconds that it took. */
    private static final int ANSWER_BYTES = Byte.BYTES + Integer.BYTES;

    /** The kind of answer that the client got. The code of a constant is its position here, from 0. */
    public enum Answer {
        SERVED,
        MISSING,
        REFUSED,
        FAILED,
        REJECTED
    }

    /** Encodes the request, followed by the answer (u8) and the milliseconds that it took (u32). */
    @SuppressWarnings("EnumOrdinal") // the order of declaration is the code on the wire, pinned by golden tests
    byte[] encode(Answer answer, long elapsedMs) {
        byte[] request = encode();
        ByteBuffer buffer = ByteBuffer.allocate(request.length + ANSWER_BYTES).order(ByteOrder.LITTLE_ENDIAN);
        buffer.put(request);
        buffer.put((byte) answer.ordinal());
        buffer.putInt(clampToInt(elapsedMs));
        return buffer.array();
    }

    /** Encodes the request. */
    byte[] encode() {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        byte[] classBytes = serviceClass.getBytes(StandardCharsets.UTF_8);
        byte[] tenantBytes = tenant.getBytes(StandardCharsets.UTF_8);
        int length = FIXED_BYTES + keyBytes.length + classBytes.length + tenantBytes.length;
        ByteBuffer buffer = ByteBuffer.allocate(length).order(ByteOrder.LITTLE_ENDIAN);
        buffer.put((byte) HookAbi.VERSION);
        buffer.put((byte) ((write ? FLAG_WRITE : 0) | (repeat ? FLAG_REPEAT : 0)));
        buffer.putInt(clampToInt(remainingMs));
        putText(buffer, keyBytes);
        putText(buffer, classBytes);
        putText(buffer, tenantBytes);
        return buffer.array();
    }

    private static void putText(ByteBuffer buffer, byte[] text) {
        buffer.putShort((short) text.length);
        buffer.put(text);
    }

    private static int clampToInt(long ms) {
        return (int) Math.max(0, Math.min(Integer.MAX_VALUE, ms));
    }
}
