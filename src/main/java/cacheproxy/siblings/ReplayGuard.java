package cacheproxy.siblings;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * Signed messages that were taken already: each signature counts once until it expires, after which its own time window
 * keeps it out (RFC 2756). Bounded; when it is full nothing is forgotten early, as that would let a replay in: nothing
 * new is taken until some have expired. Pure; times in seconds of Unix time.
 */
public final class ReplayGuard {
    private record Entry(long expires, ByteBuffer signature) {}

    private final int most;
    private final long longest;
    private final Map<ByteBuffer, Long> seen = new HashMap<>();
    private final PriorityQueue<Entry> byExpiry = new PriorityQueue<>((a, b) -> Long.compare(a.expires, b.expires));

    /**
     * @param most signatures kept
     * @param longest seconds that a signature may hold; one that holds for longer is not taken, as it would stay for as
     *     long
     */
    public ReplayGuard(int most, long longest) {
        this.most = most;
        this.longest = longest;
    }

    /** Takes a message whose signature is known to be right; false: it was taken before, or can't be kept in mind. */
    public boolean take(long now, byte[] signature, long expires) {
        for (Entry e; (e = byExpiry.peek()) != null && e.expires < now; ) {
            byExpiry.poll();
            seen.remove(e.signature);
        }
        if (expires < now || expires - now > longest || seen.size() >= most) {
            return false;
        }
        ByteBuffer key = ByteBuffer.wrap(signature.clone());
        if (seen.putIfAbsent(key, expires) != null) {
            return false;
        }
        byExpiry.add(new Entry(expires, key));
        return true;
    }
}
