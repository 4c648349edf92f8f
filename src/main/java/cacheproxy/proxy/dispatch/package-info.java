/**
 * The operation of a pool: this package reports events to the pool's routing policy and executes the policy's actions.
 * It makes no routing decisions itself.
 *
 * <p>{@link cacheproxy.proxy.dispatch.Dispatcher} connects the components. {@code PolicyEvents} is the only caller of
 * the policy and queues events that the policy's own actions cause; {@code PolicyActionExecutor} executes the actions.
 * {@code RequestLifecycle} owns the requests and concludes each once; {@code RequestAttempts} starts and checks
 * attempts, {@code AttemptResultHandler} ends each once and passes responses on to clients. {@code PoolServers} holds
 * the servers on the endpoint list, {@code HealthProber} performs health checks, and {@code RequestEventLog} writes
 * events to the event log.
 *
 * <p>All of it runs on the event loop, without locks. Times are milliseconds of the event loop's clock.
 */
package cacheproxy.proxy.dispatch;
