/**
 * WebAssembly hooks (run by Chicory): metering, the calling convention, and the rules for what a hook may order.
 *
 * <ul>
 *   <li>Loading: {@link cacheproxy.hooks.HookModule} meters a module with {@code WasmMeter}, then parses and compiles
 *       it. {@code WasmReader} and {@code WasmWriter} decode and encode the binary form, {@code WasmDeclarations}
 *       checks what a module declares, {@code WasmFunctionMeter} inserts into its functions the code that consumes
 *       fuel.
 *   <li>Calling: {@link cacheproxy.hooks.HookInstance} owns a module's memory and its {@code HookHost}.
 *       {@link cacheproxy.hooks.HookCall} encodes the arguments of a call, and {@code HookOrdersDecoder} decodes its
 *       result.
 *   <li>Deciding: {@link cacheproxy.hooks.HookRules} checks orders, {@link cacheproxy.hooks.HookCircuitBreaker}
 *       switches off hooks that fail.
 * </ul>
 *
 * <p>No threads, clocks or files are used here. A module is immutable and may be shared; an instance belongs to the
 * thread that calls it; a circuit breaker may be used from any thread.
 */
package cacheproxy.hooks;
