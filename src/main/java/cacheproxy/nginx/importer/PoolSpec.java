package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * A pool to be written.
 *
 * @param placement name of its placement
 * @param placeBy template of what the placement hashes; null: the key
 * @param directive the directive that it is made of
 */
record PoolSpec(String name, String placement, String placeBy, List<ServerSpec> servers, Directive directive) {}
