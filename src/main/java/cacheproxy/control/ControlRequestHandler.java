package cacheproxy.control;

/** Answers operators' calls. */
public interface ControlRequestHandler {
    /** Carries a call out, at once. */
    ControlEndpoints.Answer call(String method, String uri);
}
