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
 * @param judgedNothing names of the checkers that the scenario is about and that found nothing to judge
 */
public record Verdict(
        List<String> invalidReasons, Map<String, Violations> violationsByChecker, List<String> judgedNothing) {
    /** Runs all checkers over a history. */
    public static Verdict of(RunHistory run, List<String> invalidReasons, List<Checker> checkers) {
        Map<String, Violations> violationsByChecker = new LinkedHashMap<>();
        checkers.forEach(checker -> violationsByChecker.put(checker.name(), checker.check(run)));
        List<String> judgedNothing = run.scenario().judgedCheckers().stream()
                .filter(violationsByChecker::containsKey)
                .filter(name -> violationsByChecker.get(name).judged() == 0)
                .toList();
        return new Verdict(List.copyOf(invalidReasons), violationsByChecker, judgedNothing);
    }

    /** Returns whether the run is valid, no invariant was violated, and those that it is about were judged. */
    public boolean passed() {
        return invalidReasons.isEmpty() && !violated() && judgedNothing.isEmpty();
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
        judgedNothing.forEach(name -> lines.add("nothing judged: " + name));
        invalidReasons.forEach(reason -> lines.add("in doubt: " + reason));
        lines.add(summary());
        return lines;
    }

    private String summary() {
        if (!invalidReasons.isEmpty()) {
            return "NO VERDICT: the machine was too slow";
        }
        if (violated()) {
            return "BROKEN";
        }
        return judgedNothing.isEmpty() ? "HELD" : "NOTHING JUDGED";
    }
}
