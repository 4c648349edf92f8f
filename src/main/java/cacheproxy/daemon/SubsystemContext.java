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
 * The services of the daemon that subsystems use.
 *
 * @param random the daemon's source of seeds; a factory that draws from it does so on every call, so that the sequence
 *     does not depend on the sections of the file
 * @param configuration the current configuration, null before the first commit; called on the event loop
 * @param learnedState the learned state to be saved, with at most the given number of hot keys per pool; called on the
 *     event loop
 * @param siblingSnapshot the snapshot of another proxy to start from, given on the command line; empty after the start
 * @param controlHandlers the request handlers of the current subsystems for the control address, in order of
 *     registration
 */
public record SubsystemContext(
        EventLoopContext core,
        SplittableRandom random,
        Supplier<ConfigSnapshot> configuration,
        IntFunction<StateSnapshot> learnedState,
        Supplier<Optional<Path>> siblingSnapshot,
        Supplier<Map<String, ControlRequestHandler>> controlHandlers,
        DiagnosticEndpoints diagnostics) {}
