package cacheproxy.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * The pending requests, by the id in events and by the number in timer tokens. A timer can outlive its request, so it
 * refers to the request by number and does not keep the object alive.
 */
final class PendingRequestTable {
    private final PolicySettings settings;
    private final Map<Integer, PendingRequest> byId = new HashMap<>();
    private final Map<Integer, PendingRequest> byNumber = new HashMap<>();
    private int lastNumber;

    PendingRequestTable(PolicySettings settings) {
        this.settings = settings;
    }

    /** Adds a client's request; its service class must be in the settings. */
    PendingRequest add(double nowMs, RoutingRequest request) {
        PendingRequest pending = new PendingRequest(
                nowMs,
                request,
                settings.classes().get(request.serviceClass()),
                ++lastNumber & PolicyTimer.REQUEST_NUMBER_MASK,
                settings.maxAttempts());
        byId.put(request.id(), pending);
        byNumber.put(pending.number(), pending);
        return pending;
    }

    /** Returns the request with this id; null if there is none. */
    PendingRequest byId(int requestId) {
        return byId.get(requestId);
    }

    /** Returns the request that a timer belongs to; null if the request has ended or the timer belongs to none. */
    PendingRequest byToken(int timerToken) {
        return byNumber.get(PolicyTimer.requestNumber(timerToken));
    }

    /** Marks a request as concluded and removes it if no attempt is in flight. */
    void finish(PendingRequest pending) {
        pending.markConcluded();
        if (pending.inFlightAttempts() == 0) {
            byId.remove(pending.id());
            byNumber.remove(pending.number());
        }
    }
}
