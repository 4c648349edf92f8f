package cacheproxy.faulttest.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The result of a fault test run.
 *
 * @param invalidReasons why the run is not valid; empty if it is
 * @param violationsByChecker what each checker found, by its name, in the order of the checks
 */
public record Verdict(List<String> invalidReasons, Map<String, Violations> violationsByChecker) {
    /** Runs all checkers over a history. */
    public static Verdict of(RunHistory run, List<String> invalidReasons, List<Checker> checkers) {
        Map<String, Violations> violationsByChecker = new LinkedHashMap<>();
        checkers.forEach(checker -> violationsByChecker.put(checker.name(), checker.check(run)));
        return new Verdict(List.copyOf(invalidReasons), violationsByChecker);
    }

    /** Returns whether the run is valid and no invariant was violated. */
    public boolean passed() {
        return invalidReasons.isEmpty() && !violated();
    }

    /** Returns whether any invariant was violated. This proves nothing if the run is not valid. */
    public boolean violated() {
        return violationsByChecker.values().stream().anyMatch(violations -> violations.count() > 0);
    }

    /** A line for each invariant, its messages below it, and the verdict last. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        violationsByChecker.forEach((name, violations) -> {
            String result = violations.count() == 0 ? "held" : violations.count() + " BROKEN";
            lines.add(String.format("%-16s %s, %d judged", name, result, violations.judged()));
            violations.messages().forEach(message -> lines.add("    " + message));
        });
        invalidReasons.forEach(reason -> lines.add("in doubt: " + reason));
        lines.add(summary());
        return lines;
    }

    private String summary() {
        if (!invalidReasons.isEmpty()) {
            return "NO VERDICT: the machine was too slow";
        }
        return violated() ? "BROKEN" : "HELD";
    }
}
