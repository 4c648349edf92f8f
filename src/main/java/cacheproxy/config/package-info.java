/**
 * Reads the daemon's configuration file (TOML) into immutable records and reports everything that is wrong with it.
 *
 * <p>{@link cacheproxy.config.DaemonConfigReader} reads the file with one reader for each section. Optional subsystems
 * have sections of their own ({@code [control]}, {@code [fleet]}, {@code [memory]}, {@code [[hook]]}, {@code [icp]}),
 * found by the class of their record in {@link cacheproxy.config.DaemonConfig#section}. Each error gives its position,
 * the value and what is allowed; after an error, reading continues with a default, so that one pass finds all errors.
 *
 * <p>Names of TOML keys, defaults and error texts are an interface to operators. The records use the terms of the code;
 * the readers map the keys to them. Readers run on the thread that calls them and keep no state afterwards.
 */
package cacheproxy.config;
