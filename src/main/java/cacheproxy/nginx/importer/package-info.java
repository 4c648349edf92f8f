/**
 * Translates an nginx configuration into the daemon's configuration file, and reports the outcome for each directive.
 *
 * <p>{@link cacheproxy.nginx.importer.Importer} is the entry point. Each other class translates one concern and writes
 * to the shared {@link cacheproxy.nginx.importer.Report}:
 *
 * <ul>
 *   <li>{@code ListenerTable} translates the listeners, {@code HostTranslator} the virtual hosts,
 *       {@code PoolTranslator} and {@code UpstreamServers} the pools, {@code TimeoutTranslator} the limits and
 *       deadlines.
 *   <li>{@code RouteTranslator} follows nginx's phases for the requests of one server: {@code RewritePhase} with
 *       {@code IfTranslator}, {@code LocationPhase}, {@code ContentPhase} and {@code ProxyPassTranslator}. A
 *       {@code RequestState} describes the progress of a request; if a directive depends on the request, both branches
 *       are followed, each with the {@code Conditions} that it requires.
 *   <li>{@code ExpressionResolver} resolves variables to the values that they can have, with {@code MapResolver} and
 *       {@code SplitClientsResolver} for the blocks that define them.
 *   <li>{@code DaemonConfigWriter} writes the file.
 * </ul>
 *
 * <p>This package does no I/O. All state is confined to one import and to the thread that runs it.
 */
package cacheproxy.nginx.importer;
