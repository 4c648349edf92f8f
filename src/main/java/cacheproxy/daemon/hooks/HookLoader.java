package cacheproxy.daemon.hooks;

import cacheproxy.config.ConfigException;
import cacheproxy.config.DaemonConfig;
import cacheproxy.config.HookConfig;
import cacheproxy.config.HooksConfig;
import cacheproxy.hooks.HookException;
import cacheproxy.hooks.HookModule;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.util.ArrayList;
import java.util.List;

/**
 * Loads the modules of a configuration's hooks. If any can't be loaded, all errors are reported and no module is used.
 */
public final class HookLoader {
    private HookLoader() {}

    /** Loads all hooks. Must not be called on the event loop, as it reads files and compiles modules. */
    static List<HookExecutor> load(DaemonConfig file) throws ConfigException {
        List<HookExecutor> executors = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (HookConfig hook : HooksConfig.of(file)) {
            try {
                executors.add(HookExecutor.load(hook, read(hook)));
            } catch (HookException e) {
                faults.add(hook.place() + ": hook " + hook.name() + " does not load: " + e.getMessage());
            }
        }
        if (!faults.isEmpty()) {
            throw ConfigException.of(faults);
        }
        return executors;
    }

    /**
     * Loads all hooks of a configuration only to check them. The exception has a line for each hook that fails to load.
     */
    public static void check(DaemonConfig file) throws ConfigException {
        load(file);
    }

    private static byte[] read(HookConfig hook) throws HookException {
        byte[] bytes;
        try {
            if (Files.isDirectory(hook.module()) || Files.size(hook.module()) > HookModule.MAX_BYTES) {
                throw new HookException(
                        hook.module() + " is a directory, or has more than " + HookModule.MAX_BYTES + " bytes");
            }
            bytes = Files.readAllBytes(hook.module());
        } catch (NoSuchFileException e) {
            throw new HookException("there is no file " + hook.module());
        } catch (IOException e) {
            throw new HookException(hook.module() + " can't be read");
        }
        if (hook.sha256() != null && !hook.sha256().equals(HookModule.sha256Hex(bytes))) {
            throw new HookException(hook.module() + " has the SHA-256 " + HookModule.sha256Hex(bytes)
                    + ", not the one in the configuration");
        }
        return bytes;
    }
}
