package cacheproxy.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import picocli.CommandLine;

/** What a command line returned and printed. */
record CommandResult(int exitCode, String out, String err) {
    /** Runs a command line in this process. */
    static CommandResult run(String... args) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        int exitCode = new CommandLine(new Cli())
                .setOut(new PrintWriter(out))
                .setErr(new PrintWriter(err))
                .execute(args);
        return new CommandResult(exitCode, out.toString(), err.toString());
    }
}
