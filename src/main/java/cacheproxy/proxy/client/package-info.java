/**
 * The client side: listeners, client connections and their protocols.
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.client.Listener} accepts connections at one address and closes them when it drains.
 *   <li>{@link cacheproxy.proxy.client.ClientRegistry} bounds the connections of all listeners of an event loop.
 *   <li>{@link cacheproxy.proxy.client.ClientConnection} submits a connection's requests and writes the responses in
 *       their order. Its parts own one state each: {@link cacheproxy.proxy.client.RequestDecoder} the command that is
 *       being read, {@link cacheproxy.proxy.client.RequestSubmitter} the requests that are complete and not submitted
 *       yet, {@link cacheproxy.proxy.client.ResponseQueue} the open responses,
 *       {@link cacheproxy.proxy.client.ReadControl} the pauses in reading, {@link cacheproxy.proxy.client.CommandTurns}
 *       the share of the event loop that its commands may take, {@link cacheproxy.proxy.client.ImmediateResponses} the
 *       proxy's own lines that are written together, {@link cacheproxy.proxy.client.ConnectionCloser} the steps of
 *       closing, and {@link cacheproxy.proxy.client.ConnectionActivity} the times that timeouts count from.
 *   <li>{@link cacheproxy.proxy.client.MetaProtocol} is the grammar: the platform's, or the one of stock clients
 *       according to memcached's protocol.txt.
 * </ul>
 *
 * <p>Everything runs on the event loop unless a method says otherwise. Requests are passed to a
 * {@link cacheproxy.proxy.request.RequestHandler}; this package does not depend on servers.
 */
package cacheproxy.proxy.client;
