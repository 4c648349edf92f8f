package cacheproxy.daemon.hooks;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.HooksConfig;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.List;
import java.util.Optional;

/**
 * The hooks of a configuration. They are loaded again on each reload, as a module may have changed under the same path.
 */
public final class HookSubsystem implements Subsystem {
    private final EventLoopContext core;
    private final List<HookExecutor> executors;
    private boolean applied;

    private HookSubsystem(EventLoopContext core, List<HookExecutor> executors) {
        this.core = core;
        this.executors = executors;
    }

    /** Loads the hooks of a configuration and starts an instance of each; empty if the configuration has none. */
    public static Optional<HookSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
            throws ConfigException {
        return HooksConfig.of(file).isEmpty()
                ? Optional.empty()
                : Optional.of(new HookSubsystem(context.core(), HookLoader.load(file)));
    }

    /** Returns the hooks, in the order in which requests pass them. */
    public List<HookExecutor> executors() {
        return executors;
    }

    @Override
    public boolean fits(DaemonConfig file) {
        return false;
    }

    @Override
    public void apply(DaemonConfig file) {
        applied = true;
        executors.forEach(executor -> {
            executor.logTo(core);
            executor.startWorker();
        });
    }

    /**
     * Stops the hooks unless they were applied: pending requests may still call those, and their {@code ConfigSnapshot}
     * stops them.
     */
    @Override
    public void close() {
        if (!applied) {
            executors.forEach(HookExecutor::stop);
        }
    }
}
