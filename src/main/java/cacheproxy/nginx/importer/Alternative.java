package cacheproxy.nginx.importer;

/**
 * One value of an expression.
 *
 * @param conditions the conditions under which it has this value, unless an earlier alternative holds
 * @param value literals, and variables that conditions can't tell
 */
record Alternative(Conditions conditions, Expression value) {}
