/**
 * Runs WebAssembly plug-ins (hooks) on requests before they are routed.
 *
 * <p>{@link cacheproxy.daemon.hooks.HookLoader} loads the modules of a configuration and
 * {@link cacheproxy.daemon.hooks.HookSubsystem} owns them. Each hook has a thread, an instance of its module and a
 * bounded queue of calls, {@code HookTask}; all belong to its {@link cacheproxy.daemon.hooks.HookExecutor}. A request
 * passes its hooks one after another ({@link cacheproxy.daemon.hooks.HookedRequest}) and is routed or rejected in time
 * whatever a hook does, as the event loop monitors the timeouts. Circuit breakers and the rules for the orders of hooks
 * are in {@code cacheproxy.hooks}.
 */
package cacheproxy.daemon.hooks;
