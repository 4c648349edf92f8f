package cacheproxy.eventlog;

/** Builds one line of an {@link EventLog}: an event, its time, and fields in the order in which they are added. */
public final class EventLine {
    private static final int INITIAL_CHARS = 120;
    private static final int MAX_LINE_CHARS = 500;
    private static final int MS_PER_SECOND = 1000;

    private final EventLog log;
    private final StringBuilder text = new StringBuilder(INITIAL_CHARS);

    /** @param timeMs the time of the event, in milliseconds; not negative */
    EventLine(EventLog log, ProxyEvent event, long timeMs) {
        this.log = log;
        text.append(event.label()).append(" t=").append(timeMs / MS_PER_SECOND).append('.');
        // With 1000 added, the last three of the four digits are the milliseconds with their leading zeros.
        text.append(Long.toString(MS_PER_SECOND + timeMs % MS_PER_SECOND), 1, 4);
    }

    /** Adds a field. Spaces, control and non-ASCII characters of the value become {@code _}, so fields stay apart. */
    public EventLine with(String name, Object value) {
        text.append(' ').append(name).append('=');
        String valueText = String.valueOf(value);
        for (int i = 0; i < valueText.length(); i++) {
            char character = valueText.charAt(i);
            text.append(character <= ' ' || character > '~' ? '_' : character);
        }
        return this;
    }

    /** Adds a field in milliseconds, rounded to one decimal. */
    public EventLine withMs(String name, double ms) {
        return with(name, Math.round(ms * 10) / 10.0);
    }

    /** Queues the line, cut to its maximum length, or drops it if a bound of the log is reached. */
    public void write() {
        log.offer(text.length() > MAX_LINE_CHARS ? text.substring(0, MAX_LINE_CHARS) : text.toString());
    }

    @Override
    public String toString() {
        return text.toString();
    }
}
