/**
 * The proxy's data path, by concern: {@code net} (event loop plumbing), {@code request} (what client and server side
 * share), {@code client}, {@code dispatch}, {@code upstream}, {@code discovery} and {@code process} (start and end).
 * Everything of one proxy runs on one event loop.
 */
package cacheproxy.proxy;
