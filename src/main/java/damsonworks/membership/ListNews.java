package damsonworks.membership;

import java.nio.ByteBuffer;

/**
 * What proxies tell one another of discovery's list: the version they have, no more. Whoever hears of a later one than its
 * own knows that there is something to ask for; what it says only discovery tells. So a message that is lost, late, doubled
 * or forged costs a call at most.
 *
 * <p>All hear of a change at nearly the same time. Each waits for a moment of its own, and who has heard from
 * {@link #ENOUGH} others by then says nothing: a change takes a few messages, however many proxies there are.
 */
public final class ListNews {
    /** Proxies that must have told of a version for one more to be of no use: of two messages one may be lost. */
    static final int ENOUGH = 2;
    /** Bytes: a mark, and the version. */
    static final int LENGTH = 9;
    private static final byte MARK = 'V';

    private long version = Long.MIN_VALUE;
    private boolean owed;
    private int others;

    /** Discovery has told of this version. @return whether it is new, so that {@link #message} is to be asked in a moment */
    public boolean told(long seq) {
        if (seq <= version) {
            return false;
        }
        version = seq;
        owed = true;
        others = 0;
        return true;
    }

    /** Discovery begins to count anew. */
    public void forget() {
        version = Long.MIN_VALUE;
        owed = false;
    }

    /** Another proxy has this version. */
    public void heard(long seq) {
        if (seq >= version) {
            others++;
        }
    }

    /** The message to send to all; null: there is none to send. */
    public byte[] message() {
        boolean send = owed && others < ENOUGH;
        owed = false;
        return send ? ByteBuffer.allocate(LENGTH).put(MARK).putLong(version).array() : null;
    }

    /** Whether a message of another proxy is of this kind. */
    public static boolean is(byte[] message) {
        return message.length == LENGTH && message[0] == MARK;
    }

    /** The version that it tells. */
    public static long version(byte[] message) {
        return ByteBuffer.wrap(message).getLong(1);
    }
}
