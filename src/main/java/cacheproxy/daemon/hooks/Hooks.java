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

/** Reads and starts the hooks of a file; what is wrong with any of them is told, and then none is started. */
public final class Hooks {
    private static final long MAX_BYTES = 4 << 20;

    private Hooks() {}

    /** Not on the event loop: reads files and compiles. */
    static List<HookExecutor> load(DaemonConfig file) throws ConfigException {
        List<HookExecutor> all = new ArrayList<>();
        List<String> faults = new ArrayList<>();
        for (HookConfig h : HooksConfig.of(file)) {
            try {
                all.add(HookExecutor.start(h, read(h)));
            } catch (HookException e) {
                faults.add(h.place() + ": hook " + h.name() + " does not load: " + e.getMessage());
            }
        }
        if (!faults.isEmpty()) {
            throw ConfigException.of(faults);
        }
        return all;
    }

    /** Whether all hooks of a file load; the exception has a line for each that does not. */
    public static void check(DaemonConfig file) throws ConfigException {
        load(file);
    }

    private static byte[] read(HookConfig h) throws HookException {
        byte[] bytes;
        try {
            if (Files.isDirectory(h.module()) || Files.size(h.module()) > MAX_BYTES) {
                throw new HookException(h.module() + " is a directory, or has more than " + MAX_BYTES + " bytes");
            }
            bytes = Files.readAllBytes(h.module());
        } catch (NoSuchFileException e) {
            throw new HookException("there is no file " + h.module());
        } catch (IOException e) {
            throw new HookException(h.module() + " can't be read");
        }
        if (h.sha256() != null && !h.sha256().equals(HookModule.digest(bytes))) {
            throw new HookException(
                    h.module() + " has the SHA-256 " + HookModule.digest(bytes) + ", not that of the file");
        }
        return bytes;
    }
}
