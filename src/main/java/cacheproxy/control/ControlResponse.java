package cacheproxy.control;

import java.util.Optional;

/**
 * A response of the control address.
 *
 * @param status HTTP status code: 2xx if the request was carried out or the state is good, otherwise 4xx or 5xx
 * @param text body in ASCII, one line without its line end
 * @param allowedMethod the method to use instead, for the Allow header of status 405
 */
public record ControlResponse(int status, String text, Optional<String> allowedMethod) {
    /** Creates a response without an Allow header. */
    public ControlResponse(int status, String text) {
        this(status, text, Optional.empty());
    }

    /** Creates a response with an Allow header. */
    public ControlResponse(int status, String text, String allowedMethod) {
        this(status, text, Optional.of(allowedMethod));
    }

    /** Returns the response to a request whose method its path does not support. */
    static ControlResponse methodNotAllowed(String path, String requiredMethod) {
        return new ControlResponse(405, "use " + requiredMethod + " " + path, requiredMethod);
    }
}
