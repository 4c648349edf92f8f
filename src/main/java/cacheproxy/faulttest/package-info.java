/**
 * Fault tests: {@link cacheproxy.faulttest.FaultTestRunner} plays a scenario with many processes of the program, with
 * fake cache servers, origin and discovery, and with relays between them; it injects the faults and runs the checkers
 * over the history.
 *
 * <p>A run has four owners of state. The event loop of the relays owns
 * {@link cacheproxy.faulttest.scenario.NetworkLinks}, {@link cacheproxy.faulttest.DatagramRelay} and
 * {@link cacheproxy.faulttest.TcpRelay}. The event loop of the fakes owns what
 * {@link cacheproxy.faulttest.FakeProcesses} started. The event loop of the load owns
 * {@link cacheproxy.faulttest.OpenLoopWorkload} with its connections, {@link cacheproxy.faulttest.LeasePoller} and
 * {@link cacheproxy.faulttest.FencedWriter}. The thread of {@link cacheproxy.faulttest.FaultInjector} owns the state of
 * the faults that hit each {@link cacheproxy.faulttest.ProxyProcess}. All of them add events to
 * {@link cacheproxy.faulttest.History}, which writes them on its own thread.
 */
package cacheproxy.faulttest;
