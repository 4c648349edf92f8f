package cacheproxy.daemon.hooks;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.HooksConfig;
import cacheproxy.daemon.Subsystem;
import cacheproxy.daemon.SubsystemContext;
import cacheproxy.proxy.EventLoopContext;
import java.util.List;
import java.util.Optional;

/** The hooks of a file. They are loaded anew with every file: a module may have changed behind its path. */
public final class HookSubsystem implements Subsystem {
    private final EventLoopContext core;
    private final List<HookExecutor> runners;
    private boolean used;

    private HookSubsystem(EventLoopContext core, List<HookExecutor> runners) {
        this.core = core;
        this.runners = runners;
    }

    /** Loads and starts the hooks of a configuration, each on a thread of its own; empty if it has none. */
    public static Optional<HookSubsystem> open(SubsystemContext context, DaemonConfig file, Subsystem previous)
            throws ConfigException {
        return HooksConfig.of(file).isEmpty()
                ? Optional.empty()
                : Optional.of(new HookSubsystem(context.core(), Hooks.load(file)));
    }

    /** The running hooks, in the order in which requests pass them. */
    public List<HookExecutor> executors() {
        return runners;
    }

    @Override
    public boolean fits(DaemonConfig file) {
        return false;
    }

    @Override
    public void apply(DaemonConfig file) {
        used = true;
        runners.forEach(h -> {
            h.log(core);
            h.begin();
        });
    }

    /**
     * Requests that came under their file may still be at them, so the {@link ConfigSnapshot} ends those that were
     * used.
     */
    @Override
    public void close() {
        if (!used) {
            runners.forEach(HookExecutor::stop);
        }
    }
}
