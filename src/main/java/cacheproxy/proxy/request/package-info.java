/**
 * A request as the client side hands it to the dispatching side: its key, id, attributes and deadline, the interfaces
 * that both sides meet at, and the grammar of the meta text protocol. Knows neither listeners nor servers.
 */
package cacheproxy.proxy.request;
