/**
 * The routing policy: which server a request is sent to, when it is retried or hedged and when it is rejected.
 *
 * <p>{@link cacheproxy.policy.RoutingPolicy} receives events ({@link cacheproxy.policy.PolicyApi}) and causes actions
 * ({@link cacheproxy.policy.PolicyActions}). There is one instance for each pool of a proxy, confined to the event
 * loop. Nothing here reads a clock or does I/O: events carry the time, and random draws come from one seeded generator,
 * so the same events cause the same actions. Each event's draws, and the order in which it iterates over the endpoint
 * list, are part of the behavior that tests and the simulator compare.
 *
 * <p>Servers are ranked for a key by CARP (draft-vinod-carp-v1-03, {@link cacheproxy.policy.CarpHash}) or another
 * {@link cacheproxy.placement.Placement}; the highest ranked server receives the request unless one of the following
 * classes decides otherwise. Each owns the state described for it:
 *
 * <ul>
 *   <li>{@code RequestRouter}: the progress of a request from event to event; {@code PendingRequestTable} holds the
 *       requests and {@code PendingRequest} the history of each.
 *   <li>{@code EndpointList}: the listed servers, their placement and the origin; {@code EndpointListWatch} the
 *       subscription to the list's changes.
 *   <li>{@code ServerSelector}: the server of an attempt, among those ranked for the key.
 *   <li>{@code HotKeyTracker}: recent requests by key, and the number of servers that a hot key is spread over.
 *   <li>{@code OutlierEjection}: ejected servers and half-open probes; a server's health is in {@code ServerState}.
 *   <li>{@code SlowStart}: the limit on requests to a server that is warming up. {@code LearnedSlowStartBudget} is the
 *       formula of its budget, {@code ThroughputEstimate} what warm servers do, {@code SlowStartWindow} what counts
 *       against a server's budget, {@code WithdrawnStarts} the starts that later lists have withdrawn.
 *   <li>{@code HedgingPolicy}: the hedging delay and the budget of hedged requests.
 *   <li>{@code RetryRules}: whether another attempt could take effect twice.
 *   <li>{@code FetchCoalescer}: one fetch from the origin for all requests that miss the same key; {@code FetchWaiters}
 *       resumes those that wait for it.
 *   <li>{@code AdaptiveThrottle}: overload of the cache servers and of the origin; {@code LoadShedder} and
 *       {@code TenantShares} which requests to reject then.
 *   <li>{@code RequestConclusion}: the final response, with the time after which a rejected client should retry.
 *   <li>{@code LatencyEstimates}: average latencies and costs; {@code AttemptFeedback} updates all estimates from the
 *       results of attempts.
 *   <li>{@code LearnedStateTransfer}: the export of learned state for a later process, and its restore.
 * </ul>
 */
package cacheproxy.policy;
