/**
 * The control address: a small HTTP/1.1 server (RFC 9112) through which operators read a process's state, take it out
 * of service and switch its diagnostics.
 *
 * <p>{@link cacheproxy.control.ControlServer} owns the listening socket and its connections. A
 * {@link cacheproxy.control.ControlRequestHandler} decides what a request does;
 * {@link cacheproxy.control.ControlEndpoints} and {@link cacheproxy.control.DiagnosticEndpoints} handle the requests of
 * a single-pool proxy. Everything runs on the event loop that the server is created with, so handlers must not block.
 */
package cacheproxy.control;
