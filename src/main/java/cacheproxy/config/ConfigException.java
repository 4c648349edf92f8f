package cacheproxy.config;

import java.util.List;

/** A file that can't be used, with all that is wrong with it. */
public final class ConfigException extends Exception {
    private static final long serialVersionUID = 1L;
    private final transient List<String> errors;

    ConfigException(List<String> errors) {
        super(errors.get(0), null, false, false);
        this.errors = List.copyOf(errors);
    }

    /** Of what was found wrong after the file had been read. */
    public static ConfigException of(List<String> errors) {
        return new ConfigException(errors);
    }

    /** One line each: {@code file:line:column: what is wrong, what is allowed}. */
    public List<String> errors() {
        return errors;
    }
}
