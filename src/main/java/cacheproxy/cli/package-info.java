/**
 * The command line of operators and developers (picocli). A command reads a file or calls a running daemon; it decides
 * nothing itself.
 */
package cacheproxy.cli;
