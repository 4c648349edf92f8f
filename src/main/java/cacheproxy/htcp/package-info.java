/**
 * Codec of the Hypertext Caching Protocol, version 0.0 (RFC 2756): {@link cacheproxy.htcp.HtcpCodec} turns datagrams
 * into {@link cacheproxy.htcp.HtcpMessage messages} and back, {@link cacheproxy.htcp.HtcpSigner} signs and verifies
 * them with HMAC-MD5. Uses no sockets and no clocks. Not connected to a socket yet: see docs/ROADMAP.md, "Next, in this
 * order", item 1.
 */
package cacheproxy.htcp;
