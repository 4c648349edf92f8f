/**
 * The grammar of nginx configuration files: a lexer, a parser that follows includes, and a printer.
 *
 * <p>{@link cacheproxy.nginx.ConfParser} builds a tree of {@link cacheproxy.nginx.Directive directives}, each with its
 * {@link cacheproxy.nginx.Position position}; {@link cacheproxy.nginx.ConfPrinter} writes such a tree. The meaning of
 * directives is interpreted in {@code cacheproxy.nginx.model}. Files are read through
 * {@link cacheproxy.nginx.ConfSource}, so that this package does no I/O itself. Trees are immutable; a parser and its
 * lexers are used for one call only.
 */
package cacheproxy.nginx;
