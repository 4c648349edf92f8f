/**
 * The decision module: which server a request goes to, when it is retried or hedged, when it is rejected. Events with
 * their times come in, orders go out; no I/O, no clocks, randomness by seed. CARP v1.0 (draft-vinod- carp-v1-03) ranks
 * servers.
 */
package cacheproxy.policy;
