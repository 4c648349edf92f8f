package cacheproxy.hooks;

/**
 * The orders of a hook; a component is null if the hook does not order it. {@link HookOrdersDecoder} describes their
 * encoding.
 *
 * @param key the key that replaces the request's key
 * @param serviceClass name of the class that replaces the request's class
 * @param tenant name of the tenant that replaces the request's tenant
 * @param route name of the route that the request takes
 * @param refuseMs if not 0, the request is rejected, and the client may retry after this time; 0: the request is not
 *     rejected
 * @param note text for the log, sanitized to fit on one line
 * @param remainingMs time until the request's new deadline; 0: it keeps its deadline
 */
public record HookOrders(
        String key, String serviceClass, String tenant, String route, long refuseMs, String note, long remainingMs) {
    /** Orders nothing. */
    public static final HookOrders NONE = new HookOrders(null, null, null, null, 0, null, 0);
    /** Maximum size of all orders together, in bytes. */
    static final int MAX_BYTES = 2048;

    private static final int MAX_LOG_CHARACTERS = 200;

    /**
     * Shortens a text that a module wrote and replaces its non-printing characters, so that it fits on one line of the
     * log.
     */
    static String sanitize(String text) {
        String cut = text.length() > MAX_LOG_CHARACTERS ? text.substring(0, MAX_LOG_CHARACTERS) : text;
        return cut.replaceAll("[^ -~]", "?");
    }
}
