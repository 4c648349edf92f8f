package cacheproxy.faulttest.check;

import java.util.HashSet;
import java.util.Set;

/** No process ends that nobody ended. */
public final class CrashChecker implements Checker {
    @Override
    public String name() {
        return "no-crash";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations f = new Violations();
        Set<String> told = new HashSet<>();
        for (Event e : run.events()) {
            switch (e.what()) {
                case Event.STARTED -> {
                    f.looked();
                    told.remove(e.who());
                }
                case Event.KILLED, Event.TERMED -> told.add(e.who());
                case Event.ENDED -> {
                    if (!told.contains(e.who())) {
                        f.broken(e, e.who() + " ended by itself, exit code " + (int) e.value());
                    }
                }
                default -> {}
            }
        }
        return f;
    }
}
