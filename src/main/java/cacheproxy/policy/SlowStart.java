package cacheproxy.policy;

import cacheproxy.placement.StartTimes;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Limits the requests to a server that is warming up after its start. With an empty cache it has only a fraction of its
 * capacity, which grows linearly to the full capacity over {@link PolicySettings#warmUpMs}. It receives that fraction
 * of its usual requests, no retries and no requests for hot keys that are spread, and never more than the budget of
 * {@link LearnedSlowStartBudget}, whatever the clients send and however few other servers are left.
 */
final class SlowStart {
    /**
     * Under overload a server that is warming up accepts less, by at most this factor. If it were kept empty, the other
     * servers would have to carry the overload alone.
     */
    private static final double MAX_OVERLOAD_FACTOR = 1.5;

    /**
     * Multiple of its fair share of a key's requests that a server that is warming up may receive, for the key's first
     * recent request.
     */
    private static final double FIRST_REQUEST_FAIR_SHARES = 3;

    /** The same multiple of the fair share, for each later request. */
    private static final double LATER_REQUEST_FAIR_SHARES = 0.5;

    private final PolicyEnvironment environment;
    private final PolicySettings settings;
    private final LoadEstimates estimates;
    private final ThroughputEstimate throughput;
    private final LearnedSlowStartBudget budget;
    private final EndpointList endpoints;
    private final StartTimes startTimes = new StartTimes();
    private final WithdrawnStarts withdrawnStarts;

    SlowStart(PolicyEnvironment environment, LoadEstimates estimates, EndpointList endpoints) {
        this.environment = environment;
        this.estimates = estimates;
        this.endpoints = endpoints;
        settings = environment.settings();
        withdrawnStarts = new WithdrawnStarts(settings.warmUpMs());
        throughput = new ThroughputEstimate(endpoints, settings.kindCount(), this::capacityFraction);
        budget = new LearnedSlowStartBudget(settings, throughput);
    }

    /**
     * Must be called before a list changes which servers there are and when they started.
     *
     * @param listed the servers of the new list
     * @param complete whether the list names all servers, so that others are removed
     */
    void beforeListChange(double nowMs, List<Endpoint> listed, boolean complete) {
        throughput.calculate(nowMs);
        Map<Integer, Endpoint> changed = new HashMap<>();
        listed.forEach(endpoint -> changed.put(endpoint.id(), endpoint));
        for (ServerState server : endpoints.servers()) {
            Endpoint next = changed.get(server.id());
            boolean removed = next == null ? complete : next.state() == EndpointState.GONE;
            boolean earlier =
                    next != null && next.startedMs() < server.endpoint().startedMs();
            if ((removed || earlier) && isWarmingUp(nowMs, server)) {
                withdrawnStarts.add(nowMs, server.id(), startedMs(server));
            }
        }
    }

    /** Records the start times of a received list. */
    void recordList(double nowMs, List<Endpoint> endpoints) {
        startTimes.recordList(nowMs, endpoints);
    }

    /** Whether a server is still in its slow start. */
    boolean isWarmingUp(double nowMs, ServerState server) {
        return nowMs - startedMs(server) < settings.warmUpMs();
    }

    /**
     * Returns whether a server may receive a request's next attempt, which then has its part of the server's budget.
     * Always true for a server that has warmed up.
     */
    boolean admits(double nowMs, PendingRequest pending, ServerState server) {
        if (!isWarmingUp(nowMs, server)) {
            return true;
        }
        if (pending.attempts() > 0 || pending.hotKeySpread() > 1) {
            return false;
        }
        // Requests are admitted at random rather than by key: if all proxies admitted the same keys, a new hot key
        // among them would arrive from all proxies.
        double share = acceptedFraction(nowMs, server) * fairFraction(pending, server);
        if (environment.random().nextDouble() * openFraction(nowMs, server) >= share) {
            return false;
        }
        SlowStartReservation reservation = reserve(nowMs, costOf(pending), server);
        pending.setReservation(reservation);
        return reservation != null;
    }

    /** Returns whether a server may receive a health check now; if it is in its slow start, one counts as a request. */
    boolean admitsHealthCheck(double nowMs, ServerState server) {
        if (!isWarmingUp(nowMs, server)) {
            return true;
        }
        SlowStartReservation reservation = reserve(nowMs, 1, server);
        if (reservation == null) {
            return false;
        }
        reservation.window().end(nowMs, reservation.cost());
        return true;
    }

    /** Gives back the part of a budget that was kept for an attempt that is not sent after all. */
    void releaseUnsent(PendingRequest pending) {
        SlowStartReservation reservation = pending.takeReservation();
        if (reservation != null) {
            giveBack(reservation);
        }
    }

    /** Records the end of an attempt; one that never reached its server gives its part of the budget back. */
    void attemptEnded(double nowMs, SentAttempt attempt, AttemptOutcome outcome) {
        SlowStartReservation reservation = attempt.reservation();
        if (reservation == null) {
            return;
        }
        if (outcome == AttemptOutcome.NOT_SENT || outcome == AttemptOutcome.CONNECT_FAILED) {
            giveBack(reservation);
        } else {
            reservation.window().end(nowMs, reservation.cost());
        }
    }

    /**
     * Returns whether an attempt whose first byte is about to be written fits its server's budget. One that was placed
     * before the server restarted takes its part now.
     */
    boolean mayBegin(double nowMs, PendingRequest pending, SentAttempt attempt) {
        ServerState server = attempt.server();
        SlowStartReservation reservation = attempt.reservation();
        if (!isWarmingUp(nowMs, server) || (reservation != null && reservation.isForPresentStart())) {
            return true;
        }
        SlowStartReservation renewed = reserve(nowMs, costOf(pending), server);
        if (renewed != null) {
            attempt.setReservation(renewed);
        }
        return renewed != null;
    }

    /**
     * Records that the first byte of an attempt is written.
     *
     * @return false if more attempts have begun at a server in its slow start than its budget allows, which is a defect
     */
    boolean attemptBegan(double nowMs, SentAttempt attempt) {
        if (!isWarmingUp(nowMs, attempt.server())) {
            return true;
        }
        SlowStartReservation reservation = attempt.reservation();
        return reservation != null
                && reservation.isForPresentStart()
                && reservation.window().recordBegin(nowMs, reservation.cost(), reservation.allowedCost());
    }

    /** Returns what was done with a server since its present start. */
    SlowStartStatus status(double nowMs, ServerState server) {
        SlowStartWindow window = window(server);
        return new SlowStartStatus(
                server.id(),
                isWarmingUp(nowMs, server),
                server.endpoint().startedMs(),
                Math.max(0, nowMs - startedMs(server)),
                budgetOf(nowMs, server),
                window.usedCost(nowMs),
                window.admitted(),
                window.withheld());
    }

    /** Returns what a request costs at least, in requests of average work; clients may give hints that are too low. */
    private double costOf(PendingRequest pending) {
        return Math.max(1, estimates.latencies().relativeCost(pending.request()));
    }

    /** Takes a part of a server's budget; null if the budget is used up. */
    private SlowStartReservation reserve(double nowMs, double cost, ServerState server) {
        SlowStartWindow window = window(server);
        double serverBudget = budgetOf(nowMs, server);
        if (!window.tryAdmit(nowMs, cost, serverBudget)) {
            return null;
        }
        if (!environment.admission().admitWarmingUp(nowMs, server.endpoint(), startedMs(server))) {
            window.deny(cost);
            return null;
        }
        return new SlowStartReservation(server, window, cost, window.allowedCost(serverBudget));
    }

    private void giveBack(SlowStartReservation reservation) {
        reservation.window().giveBack(reservation.cost());
        environment.admission().returnWarmingUp(reservation.server().endpoint());
    }

    private SlowStartWindow window(ServerState server) {
        if (server.slowStartWindow() == null) {
            double rounding = environment.roundingRandom().nextDouble();
            server.setSlowStartWindow(new SlowStartWindow(settings.collapseAfterMs(), rounding));
        }
        return server.slowStartWindow();
    }

    /**
     * Returns a server's budget, by what it can do in the middle of the window that ends now; infinite if the settings
     * have no bound.
     */
    private double budgetOf(double nowMs, ServerState server) {
        if (!budget.isBounded()) {
            return Double.POSITIVE_INFINITY;
        }
        double middleMs = nowMs - settings.collapseAfterMs() / 2;
        return budget.requests(nowMs, server, capacityFraction(middleMs, server));
    }

    /**
     * Returns the probability that the budget allows anything. Whether it does is drawn once for each start of a
     * server. A proxy that may send then sends more, so that all proxies together send the same.
     */
    private double openFraction(double nowMs, ServerState server) {
        return Math.min(1, budgetOf(nowMs, server));
    }

    /** Returns the fraction of its capacity that a server has; 1 if it has warmed up. */
    private double capacityFraction(double nowMs, ServerState server) {
        double ageMs = Math.max(0, nowMs - startedMs(server));
        double initial = settings.initialCapacityFraction();
        return ageMs < settings.warmUpMs() ? initial + (1 - initial) * ageMs / settings.warmUpMs() : 1;
    }

    /** Returns the fraction of its usual requests that a server accepts. */
    private double acceptedFraction(double nowMs, ServerState server) {
        double pressure = estimates.serverThrottle().pressure(nowMs);
        return capacityFraction(nowMs, server) / Math.min(MAX_OVERLOAD_FACTOR, pressure);
    }

    /**
     * Returns the fraction of a key's requests to admit so that the server receives its fair share of them. A proxy
     * that has just started cannot distinguish hot keys from others and admits little until it has seen some requests.
     */
    private double fairFraction(PendingRequest pending, ServerState server) {
        double fairRequests = estimates.hotKeys().ownCount()
                * server.weightFraction()
                * (pending.recentKeyRequests() > 1 ? LATER_REQUEST_FAIR_SHARES : FIRST_REQUEST_FAIR_SHARES);
        return Math.min(1, fairRequests / pending.recentKeyRequests());
    }

    /** Returns when a server started, on the proxy's clock; negative infinity if that was long ago. */
    private double startedMs(ServerState server) {
        double listedMs = server.endpoint().startedMs();
        return Math.max(
                listedMs == 0 ? Double.NEGATIVE_INFINITY : startTimes.startedMs(listedMs, server.restartSeenMs()),
                withdrawnStarts.startedMs(server.id()));
    }
}
