package cacheproxy.config;

import java.util.List;

/** Thrown if a configuration cannot be used; holds all errors that were found. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    ConfigException(List<String> errors) {
        super(errors.get(0), null, false, false);
        this.errors = List.copyOf(errors);
    }

    /**
     * Returns an exception for errors that were found after the file had been read, such as an address that is in use.
     */
    public static ConfigException of(List<String> errors) {
        return new ConfigException(errors);
    }

    /** Returns one line for each error: {@code file:line:column: what is wrong, what is allowed}. */
    public List<String> errors() {
        return errors;
    }
}
