package cacheproxy.siblings;

import java.nio.ByteBuffer;
import java.util.Comparator;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * Accepts each signed message once (RFC 2756): remembers signatures until they expire, after which the message's own
 * validity period rejects it. The number of signatures is bounded: when the bound is reached, no signature is removed
 * early, because that would admit a replay; new messages are rejected until some signatures have expired. Reads no
 * clock; confined to one thread.
 *
 * <p>Has no caller yet: receiving signed HTCP messages is on the roadmap.
 */
public final class ReplayGuard {
    private record SeenSignature(long expiresAtSeconds, ByteBuffer signature) {}

    private final int maxSignatures;
    private final long maxValiditySeconds;
    private final Set<ByteBuffer> seen = new HashSet<>();
    private final PriorityQueue<SeenSignature> byExpiry =
            new PriorityQueue<>(Comparator.comparingLong(SeenSignature::expiresAtSeconds));

    /**
     * Creates a guard without signatures.
     *
     * @param maxSignatures the maximum number of signatures that are remembered
     * @param maxValiditySeconds the longest time until a signature expires; one that is valid for longer is rejected,
     *     because it would have to be remembered for as long
     */
    public ReplayGuard(int maxSignatures, long maxValiditySeconds) {
        this.maxSignatures = maxSignatures;
        this.maxValiditySeconds = maxValiditySeconds;
    }

    /**
     * Accepts a message whose signature has been verified.
     *
     * @param nowSeconds the present time, in seconds of Unix time
     * @param expiresAtSeconds the last second in which the signature is valid, in Unix time
     * @return false if the message has expired, was accepted before, or can't be remembered
     */
    public boolean accept(long nowSeconds, byte[] signature, long expiresAtSeconds) {
        forgetExpired(nowSeconds);
        if (expiresAtSeconds < nowSeconds
                || expiresAtSeconds - nowSeconds > maxValiditySeconds
                || seen.size() >= maxSignatures) {
            return false;
        }
        ByteBuffer key = ByteBuffer.wrap(signature.clone());
        if (!seen.add(key)) {
            return false;
        }
        byExpiry.add(new SeenSignature(expiresAtSeconds, key));
        return true;
    }

    private void forgetExpired(long nowSeconds) {
        while (!byExpiry.isEmpty() && byExpiry.peek().expiresAtSeconds < nowSeconds) {
            seen.remove(byExpiry.poll().signature);
        }
    }
}
