/**
 * The adapter that speaks the simulator's binary protocol on standard input and output in front of the decision module.
 *
 * <p>{@code EventBatchReader} owns the input, {@code EventDecoder} turns records into events of
 * {@link cacheproxy.policy.PolicyApi}, {@link cacheproxy.simulator.SimulatorAdapter} owns the policies of the running
 * instances, and {@code ReplyEncoder} turns their actions into the reply. {@link cacheproxy.simulator.SettingsParser}
 * parses an instance's settings, also for the proxy on the platform. All of it runs on the thread that calls
 * {@link cacheproxy.simulator.SimulatorAdapter#main}.
 */
package cacheproxy.simulator;
