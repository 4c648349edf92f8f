package cacheproxy.hooks;

/** A module that does not load, or a call that failed; the message says why, for operators. */
public final class HookException extends Exception {
    private static final long serialVersionUID = 1L;

    /** @param message why, as the rest of a sentence about the module or the call */
    public HookException(String message) {
        super(message);
    }
}
