package cacheproxy.fleet.quota;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What proxies tell one another of limits: {@value #HEAD} bytes and {@value #ENTRY} for each limit.
 *
 * @param book the dealer's: what is lent to one is lent to no other; in WANT the asker's own, which tells two lives of
 *     a proxy apart
 * @param number of the ask that a grant answers, or of the call that a loan answers
 * @param epoch under which the whole fleet's part is dealt out; 0 where only loans are
 */
public record QuotaMessage(Kind kind, long book, long number, long epoch, List<Entry> entries) {
    static final int HEAD = 25;
    static final int ENTRY = 12;
    /** So that a datagram holds them. */
    public static final int MOST_ENTRIES = 15;

    /** What it is. */
    public enum Kind {
        /** I could use so much more than what I own. */
        WANT,
        /** You may spend so much more than what you own, counted from your ask. */
        GRANT,
        /** Who can do with less? */
        CALL,
        /** So much of what I own I shall not spend. */
        LOAN
    }

    /** @param amount a second, or at once; 0 or more */
    public record Entry(long limit, double amount) {}

    public QuotaMessage {
        entries = List.copyOf(entries);
        if (entries.size() > MOST_ENTRIES) {
            throw new IllegalArgumentException(entries.size() + " limits in one message");
        }
    }

    public byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(HEAD + entries.size() * ENTRY)
                .put((byte) kind.ordinal())
                .putLong(book)
                .putLong(number)
                .putLong(epoch);
        entries.forEach(e -> b.putLong(e.limit).putFloat(down(e.amount)));
        return b.array();
    }

    /** Never more than was meant: amounts are promises. */
    private static float down(double amount) {
        float f = (float) amount;
        return f > amount ? Math.nextDown(f) : f;
    }

    /** Null if these bytes are none. */
    public static QuotaMessage of(byte[] bytes) {
        int entries = (bytes.length - HEAD) / ENTRY;
        if (bytes.length < HEAD
                || bytes.length != HEAD + entries * ENTRY
                || entries > MOST_ENTRIES
                || bytes[0] < 0
                || bytes[0] >= Kind.values().length) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        Kind kind = Kind.values()[b.get()];
        long book = b.getLong();
        long number = b.getLong();
        long epoch = b.getLong();
        List<Entry> list = new ArrayList<>(entries);
        for (int i = 0; i < entries; i++) {
            Entry e = new Entry(b.getLong(), b.getFloat());
            if (!(e.amount >= 0) || e.amount > 1e9) {
                return null;
            }
            list.add(e);
        }
        return epoch < 0 ? null : new QuotaMessage(kind, book, number, epoch, list);
    }
}
