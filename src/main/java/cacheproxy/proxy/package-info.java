/**
 * Sockets: listeners and client connections, dispatch of the policy's orders, connections to servers and origin, the
 * discovery client, and the life of the process. Everything runs on one event loop.
 */
package cacheproxy.proxy;
