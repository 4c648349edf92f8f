/**
 * The platform's proxy process: it assembles the other packages of the proxy.
 *
 * <ul>
 *   <li>{@link cacheproxy.proxy.process.PlatformCommands} has the commands {@code serve} and {@code train}.
 *   <li>{@link cacheproxy.proxy.process.PlatformConfig} is the process's configuration, reloaded by
 *       {@link cacheproxy.proxy.process.ConfigReloader}.
 *   <li>{@link cacheproxy.proxy.process.Proxy} starts one proxy after a {@link cacheproxy.proxy.process.WarmUp}, and
 *       shuts it down with a {@link cacheproxy.proxy.process.GracefulShutdown}.
 *   <li>{@link cacheproxy.proxy.process.OperatorActions} handles the requests of the control address, and the handover
 *       of the listening socket to a next version.
 * </ul>
 *
 * <p>A proxy has one event loop, which owns all state of requests and connections. Start, reload and shutdown run on
 * other threads. {@link cacheproxy.proxy.process.GracefulShutdown} and {@link cacheproxy.proxy.process.SighupHandler}
 * are also used by the daemon.
 */
package cacheproxy.proxy.process;
