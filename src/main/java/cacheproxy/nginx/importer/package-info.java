/** Translates the meaning of an nginx configuration into pools and routes, and reports what cannot be had. */
package cacheproxy.nginx.importer;
