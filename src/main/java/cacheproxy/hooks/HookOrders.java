package cacheproxy.hooks;

/**
 * What a hook orders; null where it orders nothing. {@link HookOrdersDecoder} has its form in bytes.
 *
 * @param key that replaces the request's
 * @param serviceClass name of the class that replaces the request's
 * @param tenant name of the tenant that replaces the request's
 * @param route name of the route that the request takes
 * @param refuseMs the request is rejected, and the client may try again after this time; 0: it is not rejected
 * @param note text for the log, fit for one line
 * @param remainingMs time until the request's new deadline; 0: it keeps its deadline
 */
public record HookOrders(
        String key, String serviceClass, String tenant, String route, long refuseMs, String note, long remainingMs) {
    /** Orders nothing. */
    public static final HookOrders NONE = new HookOrders(null, null, null, null, 0, null, 0);
    /** Bound of all orders together. */
    static final int MAX_BYTES = 2048;

    private static final int MAX_LOG_CHARACTERS = 200;

    /** Makes a text that a module wrote fit for one line of the log. */
    static String sanitize(String text) {
        String cut = text.length() > MAX_LOG_CHARACTERS ? text.substring(0, MAX_LOG_CHARACTERS) : text;
        return cut.replaceAll("[^ -~]", "?");
    }
}
