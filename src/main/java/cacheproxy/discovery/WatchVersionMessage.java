package cacheproxy.discovery;

import java.nio.ByteBuffer;

/**
 * What proxies of a zone tell one another where one of them watches discovery for all: {@value #LENGTH} bytes.
 *
 * @param later whether this is from another proxy to the one that watches: it has a later list; else from the one that
 *     watches to all
 * @param duty whose
 * @param epoch under which it watches; 0 where {@code later}
 * @param beat grows with each word under an epoch, so that late ones are known
 * @param version of the list that the sender has
 */
public record WatchVersionMessage(boolean later, long duty, long epoch, long beat, long version) {
    public static final int LENGTH = 33;

    public byte[] bytes() {
        return ByteBuffer.allocate(LENGTH)
                .put((byte) (later ? 1 : 0))
                .putLong(duty)
                .putLong(epoch)
                .putLong(beat)
                .putLong(version)
                .array();
    }

    /** Null if these bytes are none. */
    public static WatchVersionMessage of(byte[] bytes) {
        if (bytes.length != LENGTH || bytes[0] < 0 || bytes[0] > 1) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        WatchVersionMessage w =
                new WatchVersionMessage(b.get() == 1, b.getLong(), b.getLong(), b.getLong(), b.getLong());
        return w.epoch < 0 || w.beat < 0 ? null : w;
    }
}
