package cacheproxy.faulttest;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Sends signals to processes through a shell that lives as long as this process. When its input ends, the shell resumes
 * all processes that it has paused, so that none stays paused when this process is killed. Thread-safe.
 */
final class ProcessSignals implements AutoCloseable {
    /** Signals that can be sent. */
    enum Signal {
        /** Pauses a process. */
        STOP,
        /** Resumes a process. */
        CONT,
        /** Asks a process to terminate. */
        TERM
    }

    private static final String SCRIPT = """
            paused=' '
            while read signal pid; do
              kill -$signal $pid 2>/dev/null
              case $signal in
                STOP) paused="$paused$pid " ;;
                CONT) case "$paused" in *" $pid "*) paused="${paused%%" $pid "*} ${paused#*" $pid "}" ;; esac ;;
              esac
              echo done
            done
            for pid in $paused; do kill -CONT $pid 2>/dev/null; done
            """;

    private final Process shell;
    private final BufferedReader confirmations;

    ProcessSignals() throws IOException {
        shell = new ProcessBuilder("sh", "-c", SCRIPT)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        confirmations = shell.inputReader(StandardCharsets.US_ASCII);
    }

    /** Sends a signal and returns once it is sent. */
    synchronized void send(Signal signal, long pid) throws IOException {
        String command = signal.name() + " " + pid + "\n";
        shell.getOutputStream().write(command.getBytes(StandardCharsets.US_ASCII));
        shell.getOutputStream().flush();
        if (confirmations.readLine() == null) {
            throw new IOException("the shell that sends signals has ended");
        }
    }

    @Override
    public void close() {
        try {
            shell.getOutputStream().close();
            shell.waitFor();
        } catch (IOException e) {
            shell.destroyForcibly();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
