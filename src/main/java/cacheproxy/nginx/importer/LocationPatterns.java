package cacheproxy.nginx.importer;

import cacheproxy.nginx.model.Location;
import java.util.IdentityHashMap;

/** Translates the patterns of locations once each, and reports those that can't be translated. */
final class LocationPatterns {
    private final Report report;
    private final IdentityHashMap<Location, RegexTranslation> translations = new IdentityHashMap<>();

    LocationPatterns(Report report) {
        this.report = report;
    }

    /** Returns the pattern of a location; null if routes can't express it. */
    String of(Location location) {
        return translations.computeIfAbsent(location, this::translate).text();
    }

    private RegexTranslation translate(Location location) {
        RegexTranslation regex =
                RegexTranslation.of(location.text(), location.kind() == Location.Kind.REGEX_IGNORING_CASE);
        if (!regex.isSupported()) {
            report.notCarried(
                    location.directive(),
                    "pattern can't be expressed (" + regex.reason()
                            + "): its requests go to the location that would be next");
        }
        return regex;
    }
}
