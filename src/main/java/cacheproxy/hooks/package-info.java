/**
 * WebAssembly hooks (Chicory): metering, the calling convention, and the rules for what a hook may order. No threads,
 * no files; instances belong to the thread that calls them.
 */
package cacheproxy.hooks;
