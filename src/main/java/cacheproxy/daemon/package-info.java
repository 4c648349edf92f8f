/**
 * The daemon: runs the listeners, routes and pools of one configuration file, which can be replaced under load.
 *
 * <p>{@link cacheproxy.daemon.Daemon} owns the event loop and everything on it. A
 * {@link cacheproxy.daemon.ConfigSnapshot} is the running state built from one file; each request uses the snapshot
 * that was current when it arrived. {@link cacheproxy.daemon.Router} and {@code RoutedRequest} send requests to the
 * pools of their route; a {@link cacheproxy.daemon.PoolRuntime} combines a pool's policy with its connections and
 * limits.
 *
 * <p>A {@link cacheproxy.daemon.Subsystem} has its own section of the file, is registered in {@code StandardSubsystems}
 * and is looked up by its type; {@link cacheproxy.daemon.Subsystems} opens and replaces them together. State is
 * confined to the event loop; addresses are bound and files are loaded on the caller's thread before a commit.
 */
package cacheproxy.daemon;
