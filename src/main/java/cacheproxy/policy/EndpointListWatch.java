package cacheproxy.policy;

import java.util.SplittableRandom;

/**
 * Subscribes to changes of the endpoint list. Discovery serves all proxies with little capacity, so subscriptions are
 * spread over time: at the start by a random delay, after a failure by exponential backoff with jitter.
 */
final class EndpointListWatch {
    /** The first retry comes after this fraction of the list's greatest age, as a divisor, doubled. */
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

    /** The first list comes without a subscription, which is to follow if discovery is polled. */
    void cachedListReceived(PolicyActions actions) {
        if (settings.pollsDiscovery()) {
            double spanMs =
                    Math.min(settings.maxPollAgeMs() / 2, settings.instanceCount() * settings.connectTimeoutMs() / 2);
            startTimer(random.nextDouble() * spanMs, actions);
        }
    }

    /** A valid list was received, which answers the subscription if there is one. */
    void answered() {
        if (requested) {
            requested = false;
            failures = 0;
        }
    }

    /** The subscription has failed; it is tried again. */
    void failed(PolicyActions actions) {
        requested = false;
        failures++;
        double backoffMs = settings.maxPollAgeMs() / BACKOFF_DIVISOR * (1 << Math.min(failures, MAX_DOUBLINGS));
        startTimer(backoffMs * (0.5 + random.nextDouble() / 2), actions);
    }

    /** The timer is due: subscribes unless a subscription is pending. */
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
