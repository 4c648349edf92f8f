/**
 * A pool at work: reports what happens to the pool's routing policy and carries the policy's orders out. It takes no
 * routing decisions itself.
 *
 * <p>{@link cacheproxy.proxy.dispatch.Dispatcher} puts the parts together. {@code PolicyEvents} is the only caller of
 * the policy and queues events that its own orders cause; {@code PolicyActionExecutor} takes the orders.
 * {@code RequestLifecycle} owns the requests and concludes each once; {@code RequestAttempts} starts and checks
 * attempts, {@code AttemptResultHandler} ends each once and passes responses on to clients. {@code PoolServers} holds
 * the servers on the endpoint list, {@code HealthProber} makes health checks, {@code RequestEventLog} writes the event
 * log's lines.
 *
 * <p>All of it runs on the event loop, without locks. Times are milliseconds of the event loop's clock.
 */
package cacheproxy.proxy.dispatch;
