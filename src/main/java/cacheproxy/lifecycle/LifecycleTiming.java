package cacheproxy.lifecycle;

/**
 * Timing of a {@link Lifecycle}, in milliseconds; no value is negative.
 *
 * @param standbyDelayMs time from entering standby to closing the first connection. Before that, a load balancer that
 *     has not noticed the standby yet would replace the connection with another one to this process
 * @param standbyDrainMs time over which the connections are closed after that delay
 * @param standbyReadMs time from entering standby to the end of reading from the connections that were never between
 *     requests while they were closed
 * @param extraListenMs time from the start of the shutdown to the end of listening, if no successor listens at the
 *     address
 * @param shutdownDrainMs time over which the connections are closed during a shutdown with a successor. The last
 *     request still gets its whole deadline, so this must be well below the time that the process has until it must
 *     exit
 */
public record LifecycleTiming(
        double standbyDelayMs,
        double standbyDrainMs,
        double standbyReadMs,
        double extraListenMs,
        double shutdownDrainMs) {
    /**
     * The timing of a serving process. A load balancer notices a change within 0.1 s and acts within another 0.2 s;
     * after 4 s no idle connection may be left, and none with a request from the last 2 s. So reading ends within 2 s,
     * less a pause of the process.
     */
    public static final LifecycleTiming DEFAULT = new LifecycleTiming(450, 1200, 1800, 500, 350);

    /** @throws IllegalArgumentException if a value is negative or not a number */
    public LifecycleTiming {
        boolean valid = standbyDelayMs >= 0
                && standbyDrainMs >= 0
                && standbyReadMs >= 0
                && extraListenMs >= 0
                && shutdownDrainMs >= 0;
        if (!valid) {
            throw new IllegalArgumentException("lifecycle timing: each period must be 0 or more");
        }
    }
}
