package cacheproxy.faulttest.check;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * What came of a run.
 *
 * @param doubts why it does not count; empty if it does
 * @param findings by the checkers' names
 */
public record Verdict(List<String> doubts, Map<String, Violations> findings) {
    /** Checks a run. */
    public static Verdict of(RunHistory run, List<String> doubts, List<Checker> checkers) {
        Map<String, Violations> findings = new LinkedHashMap<>();
        checkers.forEach(c -> findings.put(c.name(), c.check(run)));
        return new Verdict(List.copyOf(doubts), findings);
    }

    /** Whether the run counts and nothing is broken. */
    public boolean held() {
        return doubts.isEmpty() && !broken();
    }

    /**
     * Whether something was broken that no slowness of the machine excuses; if the run is in doubt this says nothing.
     */
    public boolean broken() {
        return findings.values().stream().anyMatch(f -> f.count() > 0);
    }

    /** A line for each invariant, then the verdict. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        findings.forEach((name, f) -> {
            lines.add(String.format(
                    "%-16s %s, %d judged", name, f.count() == 0 ? "held" : f.count() + " BROKEN", f.judged()));
            f.words().forEach(w -> lines.add("    " + w));
        });
        doubts.forEach(d -> lines.add("in doubt: " + d));
        lines.add(!doubts.isEmpty() ? "NO VERDICT: the machine was too slow" : broken() ? "BROKEN" : "HELD");
        return lines;
    }
}
