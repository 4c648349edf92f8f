/**
 * Event loop plumbing that knows no protocol: the kind of channels in use, the timer wheel, the clock that notices
 * pauses of the loop, and how Netty is set up and logs. Each type is used on one event loop unless it says otherwise.
 */
package cacheproxy.proxy.net;
