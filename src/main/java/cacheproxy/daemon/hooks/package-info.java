/**
 * Runs WebAssembly plug-ins (hooks) on requests before they are routed.
 *
 * <p>Each hook has a thread and a bounded queue ({@link cacheproxy.daemon.hooks.HookExecutor}); a request passes its
 * hooks one after another ({@link cacheproxy.daemon.hooks.HookedRequest}) and is routed or rejected in time whatever a
 * hook does. Circuit breakers and checks of what hooks ask for are decided in {@code cacheproxy.hooks}.
 */
package cacheproxy.daemon.hooks;
