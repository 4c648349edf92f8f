/**
 * Carries out what a pool's routing policy orders, and tells the policy what happened. Owns the requests and attempts
 * in flight: an attempt ends once, a request is answered once. Runs on the event loop; takes no decisions itself.
 */
package cacheproxy.proxy.dispatch;
