package cacheproxy.nginx.importer;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Parses durations in nginx's notation: {@code 1m 30s}, {@code 500ms}, or {@code 10} for seconds. */
final class Durations {
    private static final Pattern PART = Pattern.compile("([0-9]+)(ms|s|m|h|d|w|M|y)?\\s*");
    private static final double SECOND_MS = 1000;
    private static final double MINUTE_MS = 60_000;
    private static final double HOUR_MS = 3_600_000;
    private static final double DAY_MS = 86_400_000;

    private Durations() {}

    /** Returns a duration in milliseconds; -1 if the text is not a duration. */
    static double parseMs(String text) {
        Matcher part = PART.matcher(text);
        double sumMs = 0;
        int end = 0;
        while (end < text.length() && part.find(end) && part.start() == end) {
            sumMs += Double.parseDouble(part.group(1)) * unitMs(part.group(2));
            end = part.end();
        }
        return text.isEmpty() || end < text.length() ? -1 : sumMs;
    }

    private static double unitMs(String unit) {
        return switch (unit == null ? "s" : unit) {
            case "ms" -> 1;
            case "m" -> MINUTE_MS;
            case "h" -> HOUR_MS;
            case "d" -> DAY_MS;
            case "w" -> 7 * DAY_MS;
            case "M" -> 30 * DAY_MS;
            case "y" -> 365 * DAY_MS;
            default -> SECOND_MS;
        };
    }
}
