/**
 * The datagram envelope between the proxies of a fleet, and the check that all of them use the same list of peers.
 *
 * <p>{@link cacheproxy.fleet.peer.DatagramEnvelope} seals and opens datagrams: it authenticates them by HMAC-SHA256
 * (RFC 2104) or protects them by CRC-32C (RFC 3720, section 12.1), and rejects replays by a sliding window of sequence
 * numbers as IPsec does (RFC 4303, section 3.4.3). {@link cacheproxy.fleet.peer.PeerListTransition} compares this
 * proxy's list of peers with the lists that the others report, so that operators can detect proxies with a different
 * configuration.
 *
 * <p>All state belongs to the fleet subsystem and is used on its event loop only. The package does no I/O and reads no
 * clock: callers pass the time in milliseconds of the monotonic clock.
 */
package cacheproxy.fleet.peer;
