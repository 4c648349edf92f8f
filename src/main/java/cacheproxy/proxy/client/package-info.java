/**
 * The client side: listeners, client connections and the protocols spoken there. A connection owns the order of its
 * responses and its back-pressure; it hands requests to a {@link cacheproxy.proxy.request.RequestHandler} and knows no
 * servers.
 */
package cacheproxy.proxy.client;
