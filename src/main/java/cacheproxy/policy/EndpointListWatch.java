package cacheproxy.policy;

import java.util.SplittableRandom;

/**
 * Subscribes to changes of the endpoint list. Discovery has little capacity for all proxies together, so subscriptions
 * are spread over time: at the start by a random delay, after a failure by exponential backoff with jitter.
 */
final class EndpointListWatch {
    /**
     * The backoff is the longest poll age divided by this and doubled for each failure in a row, including the first,
     * up to {@link #MAX_DOUBLINGS} times.
     */
    private static final int BACKOFF_DIVISOR = 16;

    private static final int MAX_DOUBLINGS = 3;

    private final PolicySettings settings;
    private final SplittableRandom random;
    private boolean requested;
    private int failures;

    EndpointListWatch(PolicySettings settings, SplittableRandom random) {
        this.settings = settings;
        this.random = random;
    }

    /** Schedules the subscription if discovery is polled; the first list arrives without one. */
    void cachedListReceived(PolicyActions actions) {
        if (settings.pollsDiscovery()) {
            double spanMs =
                    Math.min(settings.maxPollAgeMs() / 2, settings.instanceCount() * settings.connectTimeoutMs() / 2);
            startTimer(random.nextDouble() * spanMs, actions);
        }
    }

    /** Records that a valid list was received, which completes the pending subscription if there is one. */
    void answered() {
        if (requested) {
            requested = false;
            failures = 0;
        }
    }

    /** Records that the subscription has failed and schedules the next one. */
    void failed(PolicyActions actions) {
        requested = false;
        failures++;
        double backoffMs = settings.maxPollAgeMs() / BACKOFF_DIVISOR * (1 << Math.min(failures, MAX_DOUBLINGS));
        startTimer(backoffMs * (0.5 + random.nextDouble() / 2), actions);
    }

    /** Handles the timer: subscribes unless a subscription is pending. */
    void timerDue(PolicyActions actions) {
        if (!requested) {
            requested = true;
            actions.watchEndpointList(true);
        }
    }

    private static void startTimer(double delayMs, PolicyActions actions) {
        actions.setTimer(delayMs, PolicyTimer.WATCH.token());
    }
}
