/**
 * Detects which of the configured proxies are reachable, by SWIM (Das, Gupta, Motivala: "SWIM: Scalable
 * Weakly-consistent Infection-style Process Group Membership Protocol", 2002) with the extensions of Lifeguard (Dadgar,
 * Phillips, Currey: "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
 *
 * <p>{@link cacheproxy.fleet.membership.SwimMembership} is the entry point. Internally, {@code ProbeCycle} detects
 * failures by direct and indirect pings, {@code RelayedPings} pings on behalf of others, {@code MemberTable} keeps the
 * members' states and lets suspicions expire, {@code UpdateDissemination} selects the updates that each message
 * gossips, and {@code LocalHealth} is Lifeguard's estimate of how far this process can trust its own observations.
 *
 * <p>The result is only an estimate: callers may use it to save time, but must never base a permission on it. All state
 * belongs to the fleet subsystem and is used on its event loop only. The package does no I/O and reads no clock:
 * callers pass the time in milliseconds of the monotonic clock and a source of randomness.
 */
package cacheproxy.fleet.membership;
