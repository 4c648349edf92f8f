/**
 * The meaning of an nginx configuration: its servers, locations, upstreams and variables, and the order in which nginx
 * searches locations.
 *
 * <p>{@link cacheproxy.nginx.model.DirectiveShapes} first drops directives of the wrong form, so that everything after
 * it can rely on parameters and blocks. {@link cacheproxy.nginx.model.HttpModel} is then built once from the tree, by
 * {@code UpstreamReader} and {@code ServerReader}, and not changed afterwards. What nginx itself would reject is
 * collected as {@link cacheproxy.nginx.model.HttpModel.Fault}s instead of being thrown as exceptions.
 * {@link cacheproxy.nginx.model.LocationSearch} turns a server's locations into a list of steps. All types are confined
 * to the caller's thread and do no I/O.
 */
package cacheproxy.nginx.model;
