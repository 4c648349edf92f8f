/**
 * Translates an nginx configuration into the daemon's configuration file, and reports what became of each directive.
 *
 * <p>{@link cacheproxy.nginx.importer.Importer} is the entry. Each part translates one concern and writes to the shared
 * {@link cacheproxy.nginx.importer.Report}:
 *
 * <ul>
 *   <li>{@code ListenerTable} has the listeners, {@code HostTranslator} the virtual hosts, {@code PoolTranslator} and
 *       {@code UpstreamServers} the pools, {@code TimeoutTranslator} limits and deadlines.
 *   <li>{@code RouteTranslator} follows nginx's phases for the requests of one server: {@code RewritePhase} with
 *       {@code IfTranslator}, {@code LocationPhase}, {@code ContentPhase} and {@code ProxyPassTranslator}. How far a
 *       request has come is a {@code RequestState}; where a directive depends on the request, both ways are followed,
 *       each with the {@code Conditions} that it requires.
 *   <li>{@code ExpressionResolver} resolves variables to the values that they can have, with {@code MapResolver} and
 *       {@code SplitClientsResolver} for the blocks that define them.
 *   <li>{@code DaemonConfigWriter} writes the file.
 * </ul>
 *
 * <p>Nothing here does I/O. All state belongs to one import and to the thread that runs it.
 */
package cacheproxy.nginx.importer;
