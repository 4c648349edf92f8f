package cacheproxy.fleet.membership;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * What proxies tell one another of who is there (SWIM: Das, Gupta, Motivala, 2002): a question or an answer, and news
 * that travels with it.
 *
 * @param number of the question
 * @param about whom it asks or answers for: in PING and ACK the one that is asked
 */
public record SwimMessage(Kind kind, long number, long about, List<News> news) {
    static final int HEAD = 18;
    static final int NEWS = 13;
    /** So that a datagram holds them. */
    public static final int MOST_NEWS = 12;

    /** What it is. */
    public enum Kind {
        /** Are you there? */
        PING,
        /** I am; or: the one whom you had me ask is. */
        ACK,
        /** Ask that one for me. */
        PING_FOR,
        /** I have asked, and heard nothing so far. */
        NACK
    }

    /**
     * What somebody says of a peer; a higher incarnation, which only the peer itself gives out, goes before all of
     * lower ones.
     */
    public record News(long peer, Standing standing, int incarnation) {}

    /** How a peer stands; of one incarnation the later of these goes before. */
    public enum Standing {
        ALIVE,
        SUSPECT,
        DEAD
    }

    public SwimMessage {
        news = List.copyOf(news);
    }

    public byte[] bytes() {
        ByteBuffer b = ByteBuffer.allocate(HEAD + news.size() * NEWS)
                .put((byte) kind.ordinal())
                .putLong(number)
                .putLong(about)
                .put((byte) news.size());
        news.forEach(n -> b.putLong(n.peer).put((byte) n.standing.ordinal()).putInt(n.incarnation));
        return b.array();
    }

    /** Null if these bytes are none. */
    public static SwimMessage of(byte[] bytes) {
        if (bytes.length < HEAD
                || bytes[0] < 0
                || bytes[0] >= Kind.values().length
                || bytes[17] < 0
                || bytes[17] > MOST_NEWS
                || bytes.length != HEAD + bytes[17] * NEWS) {
            return null;
        }
        ByteBuffer b = ByteBuffer.wrap(bytes);
        Kind kind = Kind.values()[b.get()];
        long number = b.getLong();
        long about = b.getLong();
        int count = b.get();
        List<News> news = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long peer = b.getLong();
            byte standing = b.get();
            int incarnation = b.getInt();
            if (standing < 0 || standing >= Standing.values().length || incarnation < 0) {
                return null;
            }
            news.add(new News(peer, Standing.values()[standing], incarnation));
        }
        return new SwimMessage(kind, number, about, news);
    }
}
