package cacheproxy.fleet.quota;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * A datagram between proxies about quotas, in network byte order: {@value #HEADER_BYTES} bytes with the kind, ledger,
 * request and epoch, then {@value #ENTRY_BYTES} bytes for each entry.
 *
 * @param ledgerId the id of the allocator's ledger, because a donation is for one ledger only; in REQUEST the id of the
 *     requesting proxy's own ledger, which distinguishes its incarnations
 * @param requestId the id of a request and of the grant that replies to it, or of a solicitation and its donation
 * @param epoch the epoch of the lease under which the shared pool is granted; 0 if only donations are granted
 */
public record QuotaMessage(Kind kind, long ledgerId, long requestId, long epoch, List<Entry> entries) {
    static final int HEADER_BYTES = 25;
    static final int ENTRY_BYTES = 12;
    /** The maximum number of entries that fit into a datagram. */
    public static final int MAX_ENTRIES = 15;

    private static final double MAX_AMOUNT = 1e9;

    /** The kinds of message, in the order of their codes on the wire. */
    public enum Kind {
        /** A proxy requests these amounts from an allocator, beyond what it owns. */
        REQUEST(0),
        /** An allocator grants these amounts beyond what the receiver owns, with durations counted from its request. */
        GRANT(1),
        /** An allocator asks for donations. */
        SOLICIT(2),
        /** A proxy donates these amounts of its shares, and does not spend them. */
        DONATE(3);

        private static final Kind[] BY_CODE = values();
        private final byte code;

        Kind(int code) {
            this.code = (byte) code;
        }
    }

    /**
     * An amount of one quota.
     *
     * @param quotaId the hash of the quota's name
     * @param amount requests per second or concurrent requests, 0 or more
     */
    public record Entry(long quotaId, double amount) {}

    /** Checks the number of entries. */
    public QuotaMessage {
        entries = List.copyOf(entries);
        if (entries.size() > MAX_ENTRIES) {
            throw new IllegalArgumentException(entries.size() + " quotas are too many for one message");
        }
    }

    /** Returns the bytes of the datagram. */
    public byte[] encode() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + entries.size() * ENTRY_BYTES)
                .put(kind.code)
                .putLong(ledgerId)
                .putLong(requestId)
                .putLong(epoch);
        entries.forEach(entry -> buffer.putLong(entry.quotaId).putFloat(roundDown(entry.amount)));
        return buffer.array();
    }

    /** Returns the nearest float that is not larger, because an amount is a promise. */
    private static float roundDown(double amount) {
        float nearest = (float) amount;
        return nearest > amount ? Math.nextDown(nearest) : nearest;
    }

    /** Decodes a datagram; null if its length, kind, epoch or an amount is invalid. */
    public static QuotaMessage decode(byte[] bytes) {
        int count = (bytes.length - HEADER_BYTES) / ENTRY_BYTES;
        boolean isLengthValid = bytes.length >= HEADER_BYTES
                && bytes.length == HEADER_BYTES + count * ENTRY_BYTES
                && count <= MAX_ENTRIES;
        if (!isLengthValid || bytes[0] < 0 || bytes[0] >= Kind.BY_CODE.length) {
            return null;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        Kind kind = Kind.BY_CODE[buffer.get()];
        long ledgerId = buffer.getLong();
        long requestId = buffer.getLong();
        long epoch = buffer.getLong();
        List<Entry> entries = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            Entry entry = new Entry(buffer.getLong(), buffer.getFloat());
            if (!(entry.amount >= 0 && entry.amount <= MAX_AMOUNT)) {
                return null;
            }
            entries.add(entry);
        }
        return epoch < 0 ? null : new QuotaMessage(kind, ledgerId, requestId, epoch, entries);
    }
}
