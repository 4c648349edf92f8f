/**
 * The grammar of nginx configuration files: a lexer, a parser that follows includes, and a printer.
 *
 * <p>{@link cacheproxy.nginx.ConfParser} makes a tree of {@link cacheproxy.nginx.Directive directives}, each with its
 * {@link cacheproxy.nginx.Position position}; {@link cacheproxy.nginx.ConfPrinter} writes such a tree. What directives
 * mean is not known here but in {@code cacheproxy.nginx.model}. Files are read through
 * {@link cacheproxy.nginx.ConfSource}, so that nothing here does I/O. Trees are immutable; a parser and its lexers
 * belong to one call and hold no state beyond it.
 */
package cacheproxy.nginx;
