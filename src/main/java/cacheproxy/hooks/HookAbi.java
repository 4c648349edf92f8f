package cacheproxy.hooks;

import java.util.Map;

/** What modules and host agree on by name: the version, what a module exports and what it may import. */
public final class HookAbi {
    /** The version of all that module and host agree on, which the module returns from {@link #VERSION_EXPORT}. */
    public static final int VERSION = 1;

    /** The module that a hook's imports are of. */
    static final String HOST_MODULE = "coralbay";

    static final String LOG_IMPORT = "log";
    static final String NOW_MS_IMPORT = "now_ms";
    static final String COUNT_IMPORT = "count";
    static final String CONFIG_LENGTH_IMPORT = "config_length";
    static final String CONFIG_READ_IMPORT = "config_read";

    static final String VERSION_EXPORT = "abi_version";
    static final String ALLOCATE_EXPORT = "alloc";
    static final String ON_LOAD_EXPORT = "on_load";
    static final String ON_REQUEST_EXPORT = "on_request";
    static final String ON_ANSWER_EXPORT = "on_answer";

    /** The imports that are offered, by module and name, with their signatures. */
    static final Map<String, String> OFFERED_IMPORTS = Map.of(
            HOST_MODULE + "." + LOG_IMPORT,
            "(i32,i32)->()",
            HOST_MODULE + "." + NOW_MS_IMPORT,
            "()->(i64)",
            HOST_MODULE + "." + COUNT_IMPORT,
            "()->(i64)",
            HOST_MODULE + "." + CONFIG_LENGTH_IMPORT,
            "()->(i32)",
            HOST_MODULE + "." + CONFIG_READ_IMPORT,
            "(i32)->()");

    private HookAbi() {}
}
