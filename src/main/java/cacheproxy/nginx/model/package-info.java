/** What an nginx configuration means: servers, locations, upstreams and the order in which nginx tries them. */
package cacheproxy.nginx.model;
