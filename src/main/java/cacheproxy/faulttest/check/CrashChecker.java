package cacheproxy.faulttest.check;

import java.util.HashSet;
import java.util.Set;

/** Checks that no process exits unless the test killed it or asked it to terminate. */
public final class CrashChecker implements Checker {
    @Override
    public String name() {
        return "no-crash";
    }

    @Override
    public Violations check(RunHistory run) {
        Violations violations = new Violations();
        Set<String> expectedToExit = new HashSet<>();
        for (Event event : run.events()) {
            switch (event.type()) {
                case Event.PROCESS_STARTED -> {
                    violations.countJudged();
                    expectedToExit.remove(event.endpoint());
                }
                case Event.PROCESS_KILLED, Event.PROCESS_TERMINATING -> expectedToExit.add(event.endpoint());
                case Event.PROCESS_EXITED -> {
                    if (!expectedToExit.contains(event.endpoint())) {
                        violations.add(event, event.endpoint() + " ended by itself, exit code " + (int) event.value());
                    }
                }
                default -> {}
            }
        }
        return violations;
    }
}
