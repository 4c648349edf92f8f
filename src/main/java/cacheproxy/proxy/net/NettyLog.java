package cacheproxy.proxy.net;

import io.netty.util.internal.logging.AbstractInternalLogger;
import io.netty.util.internal.logging.InternalLogger;
import io.netty.util.internal.logging.InternalLoggerFactory;

/**
 * Netty's log as short lines on standard error: warnings and errors, a line each with its cause's message, as many as a
 * process may need and no more. To find a logging framework by itself costs Netty 20 ms of a start, and the JDK's
 * prints stack traces.
 */
final class NettyLog extends AbstractInternalLogger {
    private static final long serialVersionUID = 1;
    /** Lines of one process; a peer that provokes warnings must not fill a disk. */
    static final int MAX_LINES = 100;

    private static int lines;

    private NettyLog(String name) {
        super(name);
    }

    /** Who logs for Netty from now on; to be set before any other class of it is loaded. */
    static final class Factory extends InternalLoggerFactory {
        @Override
        protected InternalLogger newInstance(String name) {
            return new NettyLog(name);
        }
    }

    private void line(String message, Throwable cause) {
        synchronized (NettyLog.class) {
            if (lines >= MAX_LINES) {
                return;
            }
            lines++;
        }
        String first = String.valueOf(message).lines().findFirst().orElse("");
        System.err.println("netty: " + name().substring(name().lastIndexOf('.') + 1) + ": "
                + (first.length() > 300 ? first.substring(0, 300) : first) + (cause == null ? "" : ": " + cause));
    }

    private static String filled(String format, Object... values) {
        StringBuilder text = new StringBuilder();
        int from = 0;
        for (Object value : values) {
            int at = format.indexOf("{}", from);
            if (at < 0) {
                break;
            }
            text.append(format, from, at).append(value);
            from = at + 2;
        }
        return text.append(format.substring(from)).toString();
    }

    private static Throwable cause(Object... values) {
        return values.length > 0 && values[values.length - 1] instanceof Throwable t ? t : null;
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
    public void trace(String format, Object a) {}

    @Override
    public void trace(String format, Object a, Object b) {}

    @Override
    public void trace(String format, Object... values) {}

    @Override
    public void trace(String message, Throwable cause) {}

    @Override
    public void debug(String message) {}

    @Override
    public void debug(String format, Object a) {}

    @Override
    public void debug(String format, Object a, Object b) {}

    @Override
    public void debug(String format, Object... values) {}

    @Override
    public void debug(String message, Throwable cause) {}

    @Override
    public void info(String message) {}

    @Override
    public void info(String format, Object a) {}

    @Override
    public void info(String format, Object a, Object b) {}

    @Override
    public void info(String format, Object... values) {}

    @Override
    public void info(String message, Throwable cause) {}

    @Override
    public void warn(String message) {
        line(message, null);
    }

    @Override
    public void warn(String format, Object a) {
        line(filled(format, a), cause(a));
    }

    @Override
    public void warn(String format, Object a, Object b) {
        line(filled(format, a, b), cause(a, b));
    }

    @Override
    public void warn(String format, Object... values) {
        line(filled(format, values), cause(values));
    }

    @Override
    public void warn(String message, Throwable cause) {
        line(message, cause);
    }

    @Override
    public void error(String message) {
        line(message, null);
    }

    @Override
    public void error(String format, Object a) {
        line(filled(format, a), cause(a));
    }

    @Override
    public void error(String format, Object a, Object b) {
        line(filled(format, a, b), cause(a, b));
    }

    @Override
    public void error(String format, Object... values) {
        line(filled(format, values), cause(values));
    }

    @Override
    public void error(String message, Throwable cause) {
        line(message, cause);
    }
}
