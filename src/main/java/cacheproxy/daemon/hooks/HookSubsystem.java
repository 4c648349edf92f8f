package cacheproxy.daemon.hooks;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.HooksConfig;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.List;
import java.util.Optional;

/** The hooks of a configuration, loaded anew on each reload, as a module may have changed under the same path. */
public final class HookSubsystem implements Subsystem {
    private final EventLoopContext core;
    private final List<HookExecutor> executors;
    private boolean applied;

    private HookSubsystem(EventLoopContext core, List<HookExecutor> executors) {
        this.core = core;
        this.executors = executors;
    }

    /** Loads and starts the hooks of a configuration, each on a thread of its own; empty if it has none. */
    public static Optional<HookSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
            throws ConfigException {
        return HooksConfig.of(file).isEmpty()
                ? Optional.empty()
                : Optional.of(new HookSubsystem(context.core(), HookLoader.load(file)));
    }

    /** The running hooks, in the order in which requests pass them. */
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

    /** Pending requests may still call the hooks, so a {@code ConfigSnapshot} ends those that were applied. */
    @Override
    public void close() {
        if (!applied) {
            executors.forEach(HookExecutor::stop);
        }
    }
}
