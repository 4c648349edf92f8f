/** The grammar of nginx configurations: lexer, parser, printer, with the place of each directive. */
package cacheproxy.nginx;
