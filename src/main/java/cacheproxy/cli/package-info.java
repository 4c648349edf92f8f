/**
 * The command line of operators and developers, by picocli. Each command is a class of its own: it parses its options,
 * calls the package that does the work (or the control address of a running daemon) and prints the result. Decisions
 * and state belong to those packages; a command lives for one run, on the thread that called {@link Cli#run}.
 *
 * <p>Names of commands and options, printed lines and {@link ExitCode exit codes} are a contract with operators'
 * scripts. Some of these names differ from the code's terms: {@code duties} lists leases, {@code limits} lists quotas
 * and {@code memory} reads snapshots.
 */
package cacheproxy.cli;
