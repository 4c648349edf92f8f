package cacheproxy.faulttest;

import java.io.BufferedReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/**
 * Stops and continues processes, by a shell that lives as long as this process: once it reads no more orders it
 * continues all that it has stopped, so that nothing stands still for good when this process is killed.
 */
final class ProcessSignals implements AutoCloseable {
    private static final String SCRIPT = """
            held=' '
            while read signal pid; do
              kill -$signal $pid 2>/dev/null
              case $signal in
                STOP) held="$held$pid " ;;
                CONT) case "$held" in *" $pid "*) held="${held%%" $pid "*} ${held#*" $pid "}" ;; esac ;;
              esac
              echo done
            done
            for pid in $held; do kill -CONT $pid 2>/dev/null; done
            """;

    private final Process shell;
    private final BufferedReader done;

    ProcessSignals() throws IOException {
        shell = new ProcessBuilder("sh", "-c", SCRIPT)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start();
        done = shell.inputReader(StandardCharsets.US_ASCII);
    }

    /** Returns once the signal is sent. */
    synchronized void send(String signal, long pid) throws IOException {
        shell.getOutputStream().write((signal + " " + pid + "\n").getBytes(StandardCharsets.US_ASCII));
        shell.getOutputStream().flush();
        if (done.readLine() == null) {
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
