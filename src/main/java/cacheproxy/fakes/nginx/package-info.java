/**
 * The parts of the reference model of nginx, {@link cacheproxy.fakes.NginxReferenceModel}.
 *
 * <p>{@link cacheproxy.fakes.nginx.RequestInterpreter} is the entry point. It interprets the directives anew for each
 * request, as nginx's public documentation describes: {@code ServerSelector}, {@code RewriteInterpreter},
 * {@code LocationFinder} and {@code ContentHandler} implement nginx's phases, {@code VariableExpander} evaluates
 * variables and {@code UpstreamBalancer} selects servers. A {@code SimulatedRequest} holds the state of one request.
 *
 * <p>Tests compare the importer with this model, so it must share nothing with the importer but the grammar, and has
 * its own hash functions. Interpreters cache compiled patterns and hash rings; they are not thread-safe and must be
 * used from one thread at a time.
 */
package cacheproxy.fakes.nginx;
