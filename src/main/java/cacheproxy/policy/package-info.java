/**
 * The routing policy: which server a request is sent to, when it is retried or hedged and when it is rejected.
 *
 * <p>{@link cacheproxy.policy.RoutingPolicy} takes events ({@link cacheproxy.policy.PolicyApi}) and causes actions
 * ({@link cacheproxy.policy.PolicyActions}). There is one for each pool of a proxy, confined to the event loop. Nothing
 * here reads a clock or does I/O: events carry the time, and random draws come from one seeded generator, so the same
 * events cause the same actions. Each event's draws, and the order in which it iterates over the endpoint list, are
 * part of the behavior that tests and the simulator compare.
 *
 * <p>Servers are ranked for a key by CARP (draft-vinod-carp-v1-03, {@link cacheproxy.policy.CarpHash}) or another
 * {@link cacheproxy.placement.Placement}; the highest ranked server takes the request unless one of these parts departs
 * from it. Each part owns the state that is named:
 *
 * <ul>
 *   <li>{@code RequestRouter}: the course of a request from event to event; {@code PendingRequestTable} has the
 *       requests and {@code PendingRequest} what has happened to each.
 *   <li>{@code EndpointList}: the listed servers, their placement and the origin; {@code EndpointListWatch} the
 *       subscription to the list's changes.
 *   <li>{@code ServerSelector}: the server of an attempt, among those ranked for the key.
 *   <li>{@code HotKeyTracker}: recent requests by key, and over how many servers a hot key is spread.
 *   <li>{@code OutlierEjection}: ejected servers and half-open probes; a server's health is in {@code ServerState}.
 *   <li>{@code SlowStart}: what a server receives while it warms up.
 *   <li>{@code HedgingPolicy}: the hedging delay and the budget of hedged requests.
 *   <li>{@code RetryRules}: whether another attempt could take effect twice.
 *   <li>{@code FetchCoalescer}: one fetch from the origin for all requests that miss the same key.
 *   <li>{@code AdaptiveThrottle}: overload of the cache servers and of the origin; {@code LoadShedder} and
 *       {@code TenantShares} whom to reject then.
 *   <li>{@code RequestConclusion}: the final response, with the time after which a rejected client should retry.
 *   <li>{@code LatencyEstimates}: average latencies and costs; {@code AttemptFeedback} updates all estimates by the
 *       results of attempts.
 *   <li>{@code LearnedStateTransfer}: what a later process takes over.
 * </ul>
 */
package cacheproxy.policy;
