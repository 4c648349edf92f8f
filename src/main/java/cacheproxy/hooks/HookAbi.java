package cacheproxy.hooks;

import java.util.Map;

/** The version and the names that modules and the host agree on: a module's exports and the imports that it may use. */
public final class HookAbi {
    /** The ABI version, which a module returns from {@link #VERSION_EXPORT}. */
    public static final int VERSION = 1;

    /** The module name of a hook's imports. */
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

    /** The signatures of the offered imports, by module and name. */
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
