/**
 * Codec of the Internet Cache Protocol, version 2 (RFC 2186): {@link cacheproxy.icp.IcpCodec} turns datagrams into
 * {@link cacheproxy.icp.IcpMessage messages} and back. Stateless, and without sockets: the socket and the decisions
 * about queries and replies are in other packages ({@code cacheproxy.daemon}, {@link cacheproxy.siblings}).
 */
package cacheproxy.icp;
