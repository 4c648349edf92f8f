package cacheproxy.proxy.memory;

/** The largest of the last sizes that were recorded: of {@link #WINDOW} of them at least, of twice as many at most. */
public final class RecentMaximum {
    /** The number of sizes after which the older half is forgotten. */
    static final int WINDOW = 128;

    private int previousMaximum;
    private int currentMaximum;
    private int recorded;

    /** @param initial the result until enough sizes have been recorded */
    public RecentMaximum(int initial) {
        previousMaximum = initial;
    }

    /** Records a size. */
    public void record(int size) {
        if (recorded == WINDOW) {
            recorded = 0;
            previousMaximum = currentMaximum;
            currentMaximum = 0;
        }
        recorded++;
        currentMaximum = Math.max(currentMaximum, size);
    }

    /** The largest recent size. */
    public int get() {
        return Math.max(previousMaximum, currentMaximum);
    }
}
