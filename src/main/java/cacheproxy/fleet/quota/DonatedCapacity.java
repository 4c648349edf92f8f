package cacheproxy.fleet.quota;

import java.util.HashMap;
import java.util.Map;

/** What a proxy has donated of its share, by allocator. Donations are kept until they expire. */
final class DonatedCapacity {
    /** Allocators that may hold donations at once; others get none. */
    static final int MAX_ALLOCATORS = 4;

    private final Map<Long, OutstandingAmounts> byAllocator = new HashMap<>();

    /** All that is donated now. */
    double total(double nowMs) {
        double sum = 0;
        if (!byAllocator.isEmpty()) { // no iterator on the path of each request
            for (OutstandingAmounts donations : byAllocator.values()) {
                sum += donations.amountAt(nowMs);
            }
        }
        return sum;
    }

    /** What is donated to others than this allocator. */
    double totalExcept(long allocator, double nowMs) {
        OutstandingAmounts donations = byAllocator.get(allocator);
        return total(nowMs) - (donations == null ? 0 : donations.amountAt(nowMs));
    }

    /** Whether this allocator may get a donation; forgets those that have expired. */
    boolean accepts(long allocator, double nowMs) {
        byAllocator.values().removeIf(donations -> donations.removeExpired(nowMs));
        return byAllocator.containsKey(allocator) || byAllocator.size() < MAX_ALLOCATORS;
    }

    /** Adds a donation. */
    void add(long allocator, double amount, double untilMs) {
        byAllocator
                .computeIfAbsent(allocator, id -> new OutstandingAmounts(true))
                .add(amount, untilMs);
    }
}
