package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * What is known of variables where an expression stands.
 *
 * @param variables values given by {@code set}
 * @param host the only host of the request; null: any host but those that are known by name
 * @param depth number of variables that are being resolved, each in the value of the one before it
 */
record VariableScope(Map<String, Expression> variables, String host, int depth) {
    /** The scope of an expression that the request's directives contain. */
    static VariableScope of(Map<String, Expression> variables, String host) {
        return new VariableScope(variables, host, 0);
    }

    /** The scope of a variable's value. */
    VariableScope nested() {
        return new VariableScope(variables, host, depth + 1);
    }
}
