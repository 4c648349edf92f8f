package damsonworks.daemon;

import damsonworks.config.ConfigException;
import damsonworks.config.DaemonFile;
import damsonworks.config.HookSection;
import damsonworks.proxy.Core;
import java.util.List;

/** The hooks of a file. They are loaded anew with every file: a module may have changed behind its path. */
final class HooksPart implements Part {
    private final Core core;
    private final List<HookRunner> runners;
    private boolean used;

    private HooksPart(Core core, List<HookRunner> runners) {
        this.core = core;
        this.runners = runners;
    }

    static Part open(DaemonFile file, Core core) throws ConfigException {
        return HookSection.of(file).isEmpty() ? null : new HooksPart(core, Hooks.load(file));
    }

    /** Those of a part that may not be there. */
    static List<HookRunner> of(HooksPart part) {
        return part == null ? List.of() : part.runners;
    }

    @Override
    public boolean fits(DaemonFile file) {
        return false;
    }

    @Override
    public void apply(DaemonFile file) {
        used = true;
        runners.forEach(h -> {
            h.log(core);
            h.begin();
        });
    }

    /** Requests that came under their file may still be at them, so the {@link Generation} ends those that were used. */
    @Override
    public void close() {
        if (!used) {
            runners.forEach(HookRunner::stop);
        }
    }
}
