package cacheproxy.fleet.quota;

/** Numbers the requests and solicitations of one process, in ascending order from a random start. */
final class RequestIds {
    /** Leading bits that are 0 in the random start, which leaves room for as many ids as the largest start. */
    private static final int UNUSED_BITS = 2;

    private long last;

    /**
     * Starts the numbering.
     *
     * @param random a random number
     */
    RequestIds(long random) {
        last = random >>> UNUSED_BITS;
    }

    /** Returns the next id. */
    long next() {
        return ++last;
    }
}
