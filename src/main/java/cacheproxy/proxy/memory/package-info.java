/**
 * The account of the memory that an event loop holds for its clients: one {@link cacheproxy.proxy.memory.MemoryAccount}
 * for everything that is buffered between clients and servers, divided by
 * {@link cacheproxy.proxy.memory.MemoryPurpose}. {@link cacheproxy.proxy.memory.MemoryClaim} is the part of one holder;
 * {@link cacheproxy.proxy.memory.MemoryLimits} says how much there is.
 */
package cacheproxy.proxy.memory;
