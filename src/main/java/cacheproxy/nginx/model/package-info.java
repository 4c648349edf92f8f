/**
 * The meaning of an nginx configuration: its servers, locations, upstreams and variables, and the order in which nginx
 * searches locations.
 *
 * <p>{@link cacheproxy.nginx.model.DirectiveShapes} first drops directives of the wrong form, so that everything after
 * it may rely on parameters and blocks. {@link cacheproxy.nginx.model.HttpModel} is then built once from the tree, by
 * {@code UpstreamReader} and {@code ServerReader}, and not changed afterwards. What nginx itself would reject is
 * collected as {@link cacheproxy.nginx.model.HttpModel.Fault}s, never thrown.
 * {@link cacheproxy.nginx.model.LocationSearch} turns a server's locations into a list of steps. All types belong to
 * the caller's thread and do no I/O.
 */
package cacheproxy.nginx.model;
