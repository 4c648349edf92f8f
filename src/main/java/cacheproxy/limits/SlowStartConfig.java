package cacheproxy.limits;

/**
 * How servers warm up after a start, and how many proxies share them.
 *
 * @param startCapacity fraction of a warm server's capacity that a server has just after its start, above 0, up to 1
 * @param warmUpMs time from a server's start until it has its full capacity, in milliseconds, 0 or more
 * @param overloadWindowMs time for which a warming-up server must be overloaded to fail, in milliseconds, above 0
 * @param proxyCount number of proxies that send to the servers, 1 or more
 * @param defaultRatePerSecond requests a second that a warm server of unknown capacity can serve, above 0
 */
public record SlowStartConfig(
        double startCapacity, double warmUpMs, double overloadWindowMs, int proxyCount, double defaultRatePerSecond) {
    /**
     * Checks the ranges.
     *
     * @throws IllegalArgumentException if a value is out of its range
     */
    public SlowStartConfig {
        require(startCapacity > 0 && startCapacity <= 1, "startCapacity", startCapacity, "above 0, up to 1");
        require(warmUpMs >= 0, "warmUpMs", warmUpMs, "0 or more");
        require(overloadWindowMs > 0, "overloadWindowMs", overloadWindowMs, "above 0");
        require(proxyCount >= 1, "proxyCount", proxyCount, "1 or more");
        require(defaultRatePerSecond > 0, "defaultRatePerSecond", defaultRatePerSecond, "above 0");
    }

    private static void require(boolean valid, String name, double value, String expected) {
        if (!valid) {
            throw new IllegalArgumentException("slow start: " + name + " is " + value + ", expected " + expected);
        }
    }
}
