package cacheproxy.daemon;

import cacheproxy.control.ControlRequestHandler;
import cacheproxy.control.DiagnosticEndpoints;
import cacheproxy.proxy.upstream.EventLoopContext;
import cacheproxy.snapshot.state.StateSnapshot;
import java.nio.file.Path;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import java.util.function.Supplier;

/**
 * What the daemon offers to its subsystems.
 *
 * @param random the daemon's source of seeds; a factory that draws from it does so on every call, so that the sequence
 *     does not depend on which sections a file has
 * @param configuration the configuration in force, null before the first commit; on the event loop
 * @param learnedState the state worth saving, with at most the given number of hot keys a pool; on the event loop
 * @param siblingSnapshot the snapshot of another proxy to start from, given on the command line; empty after the start
 * @param controlHandlers what the present subsystems answer at the control address, in order of registration
 */
public record SubsystemContext(
        EventLoopContext core,
        SplittableRandom random,
        Supplier<ConfigSnapshot> configuration,
        IntFunction<StateSnapshot> learnedState,
        Supplier<Optional<Path>> siblingSnapshot,
        Supplier<Map<String, ControlRequestHandler>> controlHandlers,
        DiagnosticEndpoints diagnostics) {}
