package cacheproxy.hooks;

/** A module that does not load, or a call that failed; the message says why, for operators. */
public final class HookException extends Exception {
    private static final long serialVersionUID = 1L;

    public HookException(String why) {
        super(why);
    }
}
