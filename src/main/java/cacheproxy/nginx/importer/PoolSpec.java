package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import java.util.List;

/**
 * A pool of the imported file.
 *
 * @param placement name of its placement
 * @param placeBy template of the text that the placement hashes; null: the key
 * @param directive the directive from which the pool is made
 */
record PoolSpec(String name, String placement, String placeBy, List<ServerSpec> servers, Directive directive) {}
