/**
 * The adapter that speaks the simulator's binary protocol on standard input and output in front of the decision module.
 */
package cacheproxy.simulator;
