/**
 * The proxy's data path, split by concern: {@code net} (event loop utilities), {@code request} (types that the client
 * side and the server side share), {@code client}, {@code dispatch}, {@code upstream}, {@code discovery} and
 * {@code process} (startup and shutdown). Each proxy runs on one event loop.
 */
package cacheproxy.proxy;
