/**
 * The server side: the servers of all pools, their connections, and the codecs for cache nodes and the origin. A
 * connection owns the attempts written to it, in the order in which their responses come.
 */
package cacheproxy.proxy.upstream;
