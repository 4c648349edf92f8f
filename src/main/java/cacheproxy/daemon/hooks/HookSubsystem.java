package cacheproxy.daemon.hooks;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.HookConfig;
import cacheproxy.daemon.Subsystem;
import cacheproxy.proxy.EventLoopContext;
import java.util.List;

/** The hooks of a file. They are loaded anew with every file: a module may have changed behind its path. */
public final class HookSubsystem implements Subsystem {
    private final EventLoopContext core;
    private final List<HookExecutor> runners;
    private boolean used;

    private HookSubsystem(EventLoopContext core, List<HookExecutor> runners) {
        this.core = core;
        this.runners = runners;
    }

    public static Subsystem open(DaemonConfig file, EventLoopContext core) throws ConfigException {
        return HookConfig.of(file).isEmpty() ? null : new HookSubsystem(core, Hooks.load(file));
    }

    /** Those of a part that may not be there. */
    public static List<HookExecutor> of(HookSubsystem part) {
        return part == null ? List.of() : part.runners;
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
