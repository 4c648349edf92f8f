/**
 * The daemon: serves listeners, routes and pools by one configuration file that may be replaced under load.
 *
 * <p>{@link cacheproxy.daemon.Daemon} owns the event loop and everything on it. A
 * {@link cacheproxy.daemon.ConfigSnapshot} is what one file has made of it; each request keeps the snapshot under which
 * it arrived. {@link cacheproxy.daemon.Router} and {@code RoutedRequest} take requests through the pools of their
 * route; a {@link cacheproxy.daemon.PoolRuntime} joins a pool's policy with its connections and bounds.
 *
 * <p>A {@link cacheproxy.daemon.Subsystem} has a section of the file, is registered in {@code StandardSubsystems} and
 * is found by its role; {@link cacheproxy.daemon.Subsystems} opens and replaces them together. State is confined to the
 * event loop; binding of addresses and loading of files happen on the caller's thread before a commit.
 */
package cacheproxy.daemon;
