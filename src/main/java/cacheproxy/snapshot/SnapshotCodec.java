package cacheproxy.snapshot;

import cacheproxy.snapshot.state.StateSnapshot;

/**
 * The bytes of a snapshot file, as {@code docs/operating/durable-learning.md} describes them: a header and sections,
 * each with its own CRC-32C. No I/O is done here.
 */
public final class SnapshotCodec {
    /** Maximum size in bytes of a file that is read or written. */
    public static final int MAX_BYTES = 4 << 20;

    /** Maximum number of servers of one pool. */
    public static final int MAX_SERVERS = 20_000;

    /** Maximum number of hot keys of one pool. */
    public static final int MAX_KEYS = 4_096;

    private SnapshotCodec() {}

    /**
     * Returns the bytes of a snapshot's file.
     *
     * @throws IllegalArgumentException if it is larger than {@link #MAX_BYTES}, or a name in it is too long
     */
    public static byte[] encode(StateSnapshot snapshot) {
        return SnapshotEncoder.encode(snapshot);
    }

    /** Reads a file of any content; damage is reported in the result, never thrown. */
    public static DecodedSnapshot decode(byte[] file) {
        return SnapshotDecoder.decode(file);
    }
}
