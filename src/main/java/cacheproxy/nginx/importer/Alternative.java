package cacheproxy.nginx.importer;

/**
 * A value that an expression can have.
 *
 * @param conditions the conditions under which the expression has this value, unless those of an earlier alternative
 *     hold
 * @param value literals, and variables that conditions can't resolve
 */
record Alternative(Conditions conditions, Expression value) {}
