/**
 * The parts of the reference model of nginx, {@link cacheproxy.fakes.NginxReferenceModel}.
 *
 * <p>{@link cacheproxy.fakes.nginx.RequestInterpreter} is the entry. It interprets the directives anew for each
 * request, as nginx's public documentation describes it: {@code ServerSelector}, {@code RewriteInterpreter},
 * {@code LocationFinder} and {@code ContentHandler} are nginx's phases, {@code VariableExpander} has the values of
 * variables and {@code UpstreamBalancer} selects servers. A {@code SimulatedRequest} is the state of one request.
 *
 * <p>Tests compare the importer with this model, so it must share nothing with the importer but the grammar, and has
 * hash functions of its own. Interpreters cache compiled patterns and hash rings; they are safe to use from one thread
 * at a time.
 */
package cacheproxy.fakes.nginx;
