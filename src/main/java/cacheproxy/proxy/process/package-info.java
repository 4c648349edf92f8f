/**
 * The life of a proxy process: its configuration, start, warm-up, reload, graceful shutdown and what operators do with
 * it. Puts the parts of the other packages together.
 */
package cacheproxy.proxy.process;
