/**
 * Routing of requests to pools: parses keys ({@link cacheproxy.routes.KeyFormat}, {@link cacheproxy.routes.PathKey}),
 * finds the host and the route of a request ({@link cacheproxy.routes.VirtualHosts},
 * {@link cacheproxy.routes.RouteTable}), rewrites its key ({@link cacheproxy.routes.KeyRewrite}), and decides whether a
 * request that a pool has given up may be sent to another pool ({@link cacheproxy.routes.FallbackRules}).
 *
 * <p>All types are immutable and may be used from any thread. Nothing here does I/O or reads a clock. Paths are
 * normalized by RFC 3986, section 6.2.2; the order in which hosts are tried and the hash of
 * {@link cacheproxy.routes.SplitShare} are those of nginx.
 */
package cacheproxy.routes;
