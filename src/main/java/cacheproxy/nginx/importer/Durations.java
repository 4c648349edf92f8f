package cacheproxy.nginx.importer;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Times as nginx writes them: {@code 1m 30s}, {@code 500ms}, {@code 10} for seconds. */
final class Durations {
    private static final Pattern PART = Pattern.compile("([0-9]+)(ms|s|m|h|d|w|M|y)?\\s*");

    private Durations() {}

    /** In milliseconds; -1 if it is none. */
    static double ms(String text) {
        Matcher m = PART.matcher(text);
        double sum = 0;
        int end = 0;
        while (end < text.length() && m.find(end) && m.start() == end) {
            double unit = switch (m.group(2) == null ? "s" : m.group(2)) {
                case "ms" -> 1;
                case "m" -> 60_000;
                case "h" -> 3_600_000;
                case "d" -> 86_400_000;
                case "w" -> 7 * 86_400_000.0;
                case "M" -> 30 * 86_400_000.0;
                case "y" -> 365 * 86_400_000.0;
                default -> 1000;
            };
            sum += Double.parseDouble(m.group(1)) * unit;
            end = m.end();
        }
        return text.isEmpty() || end < text.length() ? -1 : sum;
    }
}
