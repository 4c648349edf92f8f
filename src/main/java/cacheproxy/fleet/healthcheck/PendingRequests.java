package cacheproxy.fleet.healthcheck;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Requests that this proxy has sent and that have no result yet, at most one for each server. */
final class PendingRequests {
    /** Maximum number of pending requests; for further servers the proxy makes its own check. */
    static final int MAX_PENDING = 1024;
    /** Maximum number of proxies that a request is sent to, one after another, until one of them holds the lease. */
    private static final int MAX_HOPS = 3;

    /** A request without a result. */
    static final class PendingRequest {
        private final long requestNumber;
        private final double expiresAtMs;
        private int redirects;

        private PendingRequest(long requestNumber, double expiresAtMs) {
            this.requestNumber = requestNumber;
            this.expiresAtMs = expiresAtMs;
        }

        /** Returns when the proxy makes its own check instead. */
        double expiresAtMs() {
            return expiresAtMs;
        }

        /** Counts a redirect; returns false if there were too many. */
        boolean tryFollowRedirect() {
            return ++redirects < MAX_HOPS;
        }
    }

    private final Map<Integer, PendingRequest> requests = new HashMap<>();

    /** Returns whether a request for the server is pending. */
    boolean contains(int server) {
        return requests.containsKey(server);
    }

    /** Returns whether no further request may be sent. */
    boolean isFull() {
        return requests.size() >= MAX_PENDING;
    }

    /** Records a request. */
    void add(int server, long requestNumber, double expiresAtMs) {
        requests.put(server, new PendingRequest(requestNumber, expiresAtMs));
    }

    /** Returns the pending request that a message replies to; null if there is none. */
    PendingRequest answeredBy(HealthCheckMessage message) {
        PendingRequest request = requests.get(message.server());
        return request != null && request.requestNumber == message.requestNumber() ? request : null;
    }

    /** Forgets the request for a server. */
    void remove(int server) {
        requests.remove(server);
    }

    /** Returns the servers whose requests have expired. */
    List<Integer> expired(double nowMs) {
        List<Integer> servers = new ArrayList<>();
        requests.forEach((server, request) -> {
            if (nowMs >= request.expiresAtMs) {
                servers.add(server);
            }
        });
        return servers;
    }

    /** Returns when the next request expires; infinite if none is pending. */
    double nextExpiryMs() {
        double nextMs = Double.POSITIVE_INFINITY;
        for (PendingRequest request : requests.values()) {
            nextMs = Math.min(nextMs, request.expiresAtMs);
        }
        return nextMs;
    }
}
