package cacheproxy.faulttest.check;

import java.util.List;

/** An invariant that is checked over the whole history of a run, as seen from outside the processes. */
public interface Checker {
    /** The short name under which results are reported. */
    String name();

    /** Checks a history. */
    Violations check(RunHistory run);

    /** All checkers whose invariants hold in any scenario. */
    static List<Checker> all() {
        return List.of(
                new SingleResponseChecker(),
                new AtMostOnceChecker(),
                new DrainChecker(),
                new SlowStartChecker(),
                new CrashChecker(),
                new MutualExclusionChecker(),
                new FencingChecker(),
                new QuotaChecker());
    }
}
