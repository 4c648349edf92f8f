package cacheproxy.proxy.net;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Netty's logger: writes warnings and errors to standard error, one line each with the message of the cause, and drops
 * all other levels. Netty's own search for a logging framework takes 20 ms at start-up, and the JDK's logger prints
 * stack traces. May be used from any thread.
 */
final class NettyLog extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;
    /** The maximum number of lines of one process, because a peer that provokes warnings must not fill a disk. */
    static final int MAX_LINES = 100;

    private static final int MAX_MESSAGE_CHARS = 300;
    private static final String PLACEHOLDER = "{}";

    private static int linesWritten;

    private NettyLog(String name) {
        super(name);
    }

    /** Creates Netty's loggers; to be set before any other class of Netty is loaded. */
    static final class Factory extends InternalLoggerFactory {
        @Override
        protected InternalLogger newInstance(String name) {
            return new NettyLog(name);
        }
    }

    private void writeLine(String message, Throwable cause) {
        synchronized (NettyLog.class) {
            if (linesWritten >= MAX_LINES) {
                return;
            }
            linesWritten++;
        }
        String firstLine = String.valueOf(message).lines().findFirst().orElse("");
        String shortened =
                firstLine.length() > MAX_MESSAGE_CHARS ? firstLine.substring(0, MAX_MESSAGE_CHARS) : firstLine;
        String simpleName = name().substring(name().lastIndexOf('.') + 1);
        System.err.println("netty: " + simpleName + ": " + shortened + (cause == null ? "" : ": " + cause));
    }

    private void writeFormatted(String format, Object... values) {
        writeLine(format(format, values), causeIn(values));
    }

    /** Replaces the placeholders by the values, in order; surplus values are left out. */
    private static String format(String format, Object... values) {
        StringBuilder text = new StringBuilder();
        int from = 0;
        for (Object value : values) {
            int at = format.indexOf(PLACEHOLDER, from);
            if (at < 0) {
                break;
            }
            text.append(format, from, at).append(value);
            from = at + PLACEHOLDER.length();
        }
        return text.append(format.substring(from)).toString();
    }

    /** By Netty's convention, a cause is the last value; null if there is none. */
    private static Throwable causeIn(Object... values) {
        return values.length > 0 && values[values.length - 1] instanceof Throwable cause ? cause : null;
    }

    @Override
    public boolean isTraceEnabled() {
        return false;
    }

    @Override
    public boolean isDebugEnabled() {
        return false;
    }

    @Override
    public boolean isInfoEnabled() {
        return false;
    }

    @Override
    public boolean isWarnEnabled() {
        return true;
    }

    @Override
    public boolean isErrorEnabled() {
        return true;
    }

    @Override
    public void trace(String message) {}

    @Override
    public void trace(String format, Object value) {}

    @Override
    public void trace(String format, Object first, Object second) {}

    @Override
    public void trace(String format, Object... values) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object value) {}

    @Override
    public void debug(String format, Object first, Object second) {}

    @Override
    public void debug(String format, Object... values) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object value) {}

    @Override
    public void info(String format, Object first, Object second) {}

    @Override
    public void info(String format, Object... values) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public void warn(String message) {
        writeLine(message, null);
    }

    @Override
    public void warn(String format, Object value) {
        writeFormatted(format, value);
    }

    @Override
    public void warn(String format, Object first, Object second) {
        writeFormatted(format, first, second);
    }

    @Override
    public void warn(String format, Object... values) {
        writeFormatted(format, values);
    }

    @Override
    public void warn(String message, Throwable cause) {
        writeLine(message, cause);
    }

    @Override
    public void error(String message) {
        writeLine(message, null);
    }

    @Override
    public void error(String format, Object value) {
        writeFormatted(format, value);
    }

    @Override
    public void error(String format, Object first, Object second) {
        writeFormatted(format, first, second);
    }

    @Override
    public void error(String format, Object... values) {
        writeFormatted(format, values);
    }

    @Override
    public void error(String message, Throwable cause) {
        writeLine(message, cause);
    }
}
