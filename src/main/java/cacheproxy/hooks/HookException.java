package cacheproxy.hooks;

/** Thrown if a module does not load or a call fails. The message tells operators why. */
public final class HookException extends Exception {
    private static final long serialVersionUID = 1L;

    /** @param message the reason, as the end of a sentence about the module or the call */
    public HookException(String message) {
        super(message);
    }
}
