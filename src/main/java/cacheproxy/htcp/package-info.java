/**
 * Codec of HTCP/0.0 (RFC 2756) with its HMAC-MD5 signatures. Not connected to a socket yet: docs/ROADMAP.md, "Next, in
 * this order", item 1.
 */
package cacheproxy.htcp;
