package cacheproxy.fleet.quota;

import java.util.HashMap;
import java.util.Map;

/** The capacity that a proxy has donated from its share, by allocator. A donation remains in force until it expires. */
final class DonatedCapacity {
    /** Maximum number of allocators that hold donations at the same time; others get none. */
    static final int MAX_ALLOCATORS = 4;

    private final Map<Long, OutstandingAmounts> byAllocator = new HashMap<>();

    /** Returns the total amount that is donated now. */
    double total(double nowMs) {
        double sum = 0;
        if (!byAllocator.isEmpty()) { // avoids allocating an iterator for each client request
            for (OutstandingAmounts donations : byAllocator.values()) {
                sum += donations.amountAt(nowMs);
            }
        }
        return sum;
    }

    /** Returns the amount that is donated to allocators other than this one. */
    double totalExcept(long allocator, double nowMs) {
        OutstandingAmounts donations = byAllocator.get(allocator);
        return total(nowMs) - (donations == null ? 0 : donations.amountAt(nowMs));
    }

    /** Returns whether this allocator may get a donation; removes expired donations. */
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
