package cacheproxy.bench;

import cacheproxy.icp.IcpCodec;
import cacheproxy.icp.IcpMessage;
import cacheproxy.icp.MalformedMessageException;
import cacheproxy.siblings.CacheDigest;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.io.PrintWriter;
import java.util.HashMap;
import java.util.Map;

/** What a query of a sibling costs on one thread: the codec, the digest, and a hash map for comparison. */
final class SiblingMessageBench {
    private static final int CALLS_PER_ROUND = 200_000;
    private static final int DIGEST_KEYS = 60_000;
    private static final int DIGEST_SLOTS = 1 << 16;
    private static final int DIGEST_HOLD_MS = 60_000;
    private static final int QUERY_MASK = 65_535;
    private static final long KEY_MULTIPLIER = 0x9E37L;
    private static final double NOW_MS = 1e12;

    private final PrintWriter out;

    SiblingMessageBench(PrintWriter out) {
        this.out = out;
    }

    /** Prints a row for each call. */
    void run() throws MalformedMessageException {
        IcpMessage query = IcpMessage.query(7, 0, "http://coralbay/page/1234567890");
        ByteBuf datagram = IcpCodec.encode(ByteBufAllocator.DEFAULT, query);
        CacheDigest digest = new CacheDigest(DIGEST_SLOTS, DIGEST_HOLD_MS, 100);
        Map<Long, Integer> map = new HashMap<>();
        for (int i = 0; i < DIGEST_KEYS; i++) {
            digest.add(NOW_MS, i * KEY_MULTIPLIER, i % 100);
            map.put(i * KEY_MULTIPLIER, i % 100);
        }
        CallCostTable costs = new CallCostTable(out, "on one thread", CALLS_PER_ROUND);
        costs.row("question written", i -> encodedLength(query));
        costs.row("question read", i -> requestNumber(datagram));
        costs.row("digest asked", i -> digest.contains(NOW_MS, key(i)) ? 1 : 0);
        costs.row("digest told", i -> {
            digest.add(NOW_MS + i, key(i), i & 63);
            return 1;
        });
        costs.row("a hash map asked", i -> map.getOrDefault(key(i), 0));
        datagram.release();
    }

    private static long key(int call) {
        return (call & QUERY_MASK) * KEY_MULTIPLIER;
    }

    private static long encodedLength(IcpMessage message) {
        ByteBuf buffer = IcpCodec.encode(ByteBufAllocator.DEFAULT, message);
        int length = buffer.readableBytes();
        buffer.release();
        return length;
    }

    private static long requestNumber(ByteBuf datagram) {
        try {
            return IcpCodec.decode(datagram).requestNumber();
        } catch (MalformedMessageException e) {
            throw new IllegalStateException(e);
        }
    }
}
