/** A whole fleet of real decision modules on one virtual clock, with the sums that no single proxy sees. */
package cacheproxy.simulation;
