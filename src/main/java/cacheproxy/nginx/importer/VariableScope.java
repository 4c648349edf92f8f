package cacheproxy.nginx.importer;

import java.util.Map;

/**
 * What is known about variables at the place of an expression.
 *
 * @param variables values of variables that {@code set} has assigned
 * @param host the only host of the request; null: any host except those that are known by name
 * @param depth number of variables that are being resolved, each one within the value of the one before it
 */
record VariableScope(Map<String, Expression> variables, String host, int depth) {
    /** Returns the scope of an expression in a directive that the request reaches. */
    static VariableScope of(Map<String, Expression> variables, String host) {
        return new VariableScope(variables, host, 0);
    }

    /** Returns the scope of an expression within a variable's value. */
    VariableScope nested() {
        return new VariableScope(variables, host, depth + 1);
    }
}
