package cacheproxy.lifecycle;

/**
 * How many requests a starting process answers itself before it says that it takes clients. What those have not loaded
 * and compiled the first clients wait for; each costs time in which the process is missing.
 *
 * <p>Where few proxies share the traffic each has hundreds of requests in its first second, and one that is not ready
 * for them falls behind for seconds. Where many do, there are few a second for each, and being away costs more than
 * being slow. Beside a running process nobody waits for the new one.
 *
 * @param requests to be answered
 * @param inHand of them at once
 * @param limitMs for all of them; whoever takes longer goes on without. A new version that has not said yes after 6 s
 *     counts as failed, and its start takes a second besides
 */
public record WarmUpPlan(int requests, int inHand, double limitMs) {
    /** Proxies that share the traffic, up to which each has much of it. */
    static final int FEW = 3;

    static final int LONG = 600;
    static final int SHORT = 30;
    private static final int IN_HAND = 8;
    private static final double LIMIT_MS = 4000;

    /**
     * @param instances proxies that share the traffic
     * @param beside whether a process that this one is to follow still serves
     */
    public static WarmUpPlan of(int instances, boolean beside) {
        return new WarmUpPlan(beside || instances <= FEW ? LONG : SHORT, IN_HAND, LIMIT_MS);
    }
}
