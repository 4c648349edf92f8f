package cacheproxy.discovery;

import java.nio.ByteBuffer;

/**
 * What proxies tell one another of discovery's list: the version they have, no more. Whoever hears of a later one than
 * its own knows that there is something to ask for; what it says only discovery tells. So a message that is lost, late,
 * doubled or forged costs a few calls at most ({@link SilentWatchDetector}).
 *
 * <p>All hear of a change within a second or two. Each waits for a moment of its own, and who has heard the same
 * version from two others by then, before or after it was told itself, says nothing: a change takes few messages,
 * however many proxies there are, and of two messages one may be lost.
 */
public final class VersionGossip {
    /** Bytes: a mark, and the version. */
    static final int LENGTH = 9;

    private static final byte MARK = 'V';

    private boolean owed;
    /** The latest version that others have told, the first who did, and whether another did. */
    private long heard = Long.MIN_VALUE;

    private int first;
    private boolean enough;

    /** Discovery has told of a new version: {@link #message} is to be asked in a moment. */
    public void told() {
        owed = true;
    }

    /** Discovery begins to count anew. */
    public void forget() {
        owed = false;
        heard = Long.MIN_VALUE;
    }

    /** Another proxy, by its number, has this version. */
    public void heard(int peer, long seq) {
        if (seq > heard) {
            heard = seq;
            first = peer;
            enough = false;
        } else if (seq == heard && peer != first) {
            enough = true;
        }
    }

    /** The message to send to all, with the version held here; null: there is none to send. */
    public byte[] message(long version) {
        boolean send = owed && !(enough && heard == version);
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
