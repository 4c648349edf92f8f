/**
 * A request on its way from the client side to the dispatching side, and the two interfaces at which they meet:
 * {@link cacheproxy.proxy.request.RequestHandler} takes requests, {@link cacheproxy.proxy.request.Responder} gets their
 * responses. {@link cacheproxy.proxy.request.RequestValidator} makes class, tenant and deadline of a request's
 * attributes, and {@link cacheproxy.proxy.request.MetaCodec} has the grammar of the meta text protocol (memcached's
 * protocol.txt, "Meta Commands") for clients and cache nodes.
 *
 * <p>A request belongs to whom it was handed last, and is used on its event loop. Neither listeners nor servers are
 * known here.
 */
package cacheproxy.proxy.request;
