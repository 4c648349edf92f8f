package cacheproxy.faulttest.check;

import java.util.List;

/** An invariant over a whole history, judged from outside the processes. */
public interface Checker {
    /** A word for it. */
    String name();

    /** What breaks it; empty if nothing does. At most {@link Violations#MOST} are told in words. */
    Violations check(RunHistory run);

    /** All that hold for any scenario. */
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
