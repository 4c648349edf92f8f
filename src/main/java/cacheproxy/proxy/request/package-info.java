/**
 * A request that the client side passes to the dispatcher, and the two interfaces between them:
 * {@link cacheproxy.proxy.request.RequestHandler} receives requests, {@link cacheproxy.proxy.request.Responder}
 * receives their responses. {@link cacheproxy.proxy.request.RequestValidator} derives class, tenant and deadline from a
 * request's attributes, and {@link cacheproxy.proxy.request.MetaCodec} implements the grammar of the meta text protocol
 * (memcached's protocol.txt, "Meta Commands") for clients and cache servers.
 *
 * <p>A request belongs to the component that received it last, and is used on the event loop of that component. This
 * package depends neither on listeners nor on servers.
 */
package cacheproxy.proxy.request;
