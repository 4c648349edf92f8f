/**
 * From a request to its route: by key, host and path, class, tenant and listener; key rewriting, splits and fallback
 * pools. No I/O, no clocks.
 */
package cacheproxy.routes;
