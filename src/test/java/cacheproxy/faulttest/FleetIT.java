package cacheproxy.faulttest;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import cacheproxy.faulttest.check.AtMostOnceChecker;
import cacheproxy.faulttest.check.Checker;
import cacheproxy.faulttest.check.DrainChecker;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.check.SingleResponseChecker;
import cacheproxy.faulttest.check.SlowStartChecker;
import cacheproxy.faulttest.scenario.Scenario;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Several processes of the packaged program with faults between them. */
@Timeout(180)
class FleetIT {
    /** A scenario with faults of each kind; the program is a format argument. */
    private static final String EVERY_FAULT = """
            [fleet]
            program = "%s"
            proxies = 4
            nodes = 6
            zones = ["a", "b"]
            node_per_second = 200
            relay_nodes = true
            seed = 3
            [load]
            seconds = 6.5
            per_second = 150
            writes = 0.2
            [[fault]]
            kind = "stop"
            at_ms = 300
            for_ms = 1200
            who = "p1"
            [[fault]]
            kind = "node-drain"
            at_ms = 400
            for_ms = 5000
            who = "n1"
            [[fault]]
            kind = "node-kill"
            at_ms = 500
            for_ms = 300
            who = "n2"
            [[fault]]
            kind = "kill"
            at_ms = 600
            for_ms = 200
            who = "p2"
            [[fault]]
            kind = "link"
            at_ms = 1000
            for_ms = 900
            who = "p3"
            to = "n3,n4"
            lose = 1
            [[fault]]
            kind = "link"
            at_ms = 1500
            for_ms = 800
            who = "p4"
            to = "n5"
            reset = true
            [[fault]]
            kind = "link"
            at_ms = 1000
            for_ms = 3000
            who = "proxies"
            to = "proxies"
            lose = 0.4
            twice = 0.3
            jitter_ms = 200
            corrupt = 0.1
            [[fault]]
            kind = "term"
            at_ms = 2500
            for_ms = 500
            who = "p3"
            [[fault]]
            kind = "slow"
            at_ms = 3000
            for_ms = 1000
            who = "p4"
            share = 0.2
            [[fault]]
            kind = "node-stall"
            at_ms = 4000
            for_ms = 300
            who = "n6"
            """;

    @TempDir
    private Path folder;

    private FaultTestRunner.Outcome play(String text) throws Exception {
        return FaultTestRuns.playAndAssertInvariants(text, folder);
    }

    @ParameterizedTest
    @ValueSource(strings = {"serve", "run"})
    void keepsAllInvariantsThroughEveryKindOfFault(String program) throws Exception {
        FaultTestRunner.Outcome outcome = play(EVERY_FAULT.formatted(program));
        assertThat(outcome.serviceStats().requests()).isGreaterThan(700);
        assertThat(outcome.serviceStats().served())
                .isGreaterThan(outcome.serviceStats().requests() / 2);
        RunHistory run = outcome.run();
        assertThat(run.events().stream()
                        .filter(event -> event.type().equals(Event.PROCESS_READY))
                        .count())
                .as("four starts and two restarts")
                .isEqualTo(6);
        assertThat(run.pausedUs("p1", 0, run.endUs())).as("p1 was paused").isPositive();
        assertThat(run.events())
                .anyMatch(event -> event.type().equals(Event.PROCESS_EXITED)
                        && event.endpoint().equals("p3")
                        && event.value() == 143);
        assertPlantedViolationsAreFound(run);
    }

    /** Asserts that violations added to the history of a real run are found. */
    private static void assertPlantedViolationsAreFound(RunHistory run) {
        // p4 has neither a long pause nor an exit, so none of its requests is excused.
        Event served = first(
                run,
                event -> event.is(Event.RESPONSE_RECEIVED, "served")
                        && event.endpoint().equals("p4"));
        assertThat(new SingleResponseChecker()
                        .check(withEvents(run, copyOf(served, served.timeUs() + 1000, served.endpoint())))
                        .count())
                .as("duplicate response")
                .isEqualTo(1);
        assertThat(new SingleResponseChecker().check(withoutEvent(run, served)).count())
                .as("missing response")
                .isEqualTo(1);
        Event effect = first(run, event -> event.is(Event.WRITE_APPLIED));
        assertThat(new AtMostOnceChecker()
                        .check(withEvents(run, copyOf(effect, effect.timeUs() + 1000, effect.endpoint())))
                        .count())
                .isEqualTo(1);
        assertPlantedCommandsAreFound(run);
    }

    private static void assertPlantedCommandsAreFound(RunHistory run) {
        Event drain = first(run, event -> event.is(Event.SERVER_DRAINING));
        Event serverStart = first(run, event -> event.is(Event.SERVER_STARTED));
        Event command = first(
                run,
                event -> event.is(Event.COMMAND_ARRIVED)
                        && event.timeUs() > drain.timeUs() + 2_200_000
                        && run.events().stream()
                                .anyMatch(sent -> sent.is(Event.REQUEST_SENT)
                                        && sent.id().equals(event.id())
                                        && sent.endpoint().equals("p4")));
        assertThat(new DrainChecker()
                        .check(withEvents(run, copyOf(command, command.timeUs(), drain.endpoint())))
                        .count())
                .as("command of p4 to a draining server")
                .isGreaterThan(0);
        Event[] excessCommands = new Event[400];
        for (int i = 0; i < excessCommands.length; i++) {
            excessCommands[i] = copyOf(command, serverStart.timeUs() + 1000 + i, serverStart.endpoint());
        }
        assertThat(new SlowStartChecker().check(withEvents(run, excessCommands)).count())
                .isEqualTo(1);
    }

    private static Event first(RunHistory run, Predicate<Event> condition) {
        return run.events().stream().filter(condition).findFirst().orElseThrow();
    }

    private static Event copyOf(Event event, long timeUs, String endpoint) {
        return new Event(timeUs, 0, endpoint, event.type(), event.id(), event.detail(), event.value());
    }

    private static RunHistory withEvents(RunHistory run, Event... planted) {
        List<Event> events = new ArrayList<>(run.events());
        events.addAll(List.of(planted));
        return new RunHistory(run.scenario(), events);
    }

    private static RunHistory withoutEvent(RunHistory run, Event removed) {
        List<Event> events = new ArrayList<>(run.events());
        events.remove(removed);
        return new RunHistory(run.scenario(), events);
    }

    /** If the runner is killed during a run, all its child processes exit, including a paused one. */
    @Test
    void leavesNoChildProcessWhenRunnerIsKilled() throws Exception {
        Path scenario = folder.resolve("s.toml");
        Files.writeString(scenario, """
                [fleet]
                proxies = 3
                nodes = 2
                [load]
                seconds = 60
                per_second = 20
                [[fault]]
                kind = "stop"
                who = "p2"
                for_ms = 50000
                """);
        Path out = folder.resolve("out");
        Process runner = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-jar",
                        "target/cache-proxy.jar",
                        "fleet",
                        "play",
                        scenario.toString(),
                        "--out",
                        out.toString())
                .redirectErrorStream(true)
                .start();
        try {
            Path history = out.resolve("history.jsonl");
            while (!Files.exists(history) || !Files.readString(history).contains("\"" + Event.PROCESS_PAUSED + "\"")) {
                assertThat(runner.isAlive()).isTrue();
                runner.waitFor(50, TimeUnit.MILLISECONDS);
            }
            List<ProcessHandle> children = new ArrayList<>();
            try (Stream<Path> files = Files.walk(out)) {
                for (Path pidFile : files.filter(file -> file.endsWith("pid")).toList()) {
                    children.add(ProcessHandle.of(
                                    Long.parseLong(Files.readString(pidFile).trim()))
                            .orElseThrow());
                }
            }
            assertThat(children).hasSize(3).allMatch(ProcessHandle::isAlive);
            runner.destroyForcibly().waitFor();
            for (ProcessHandle child : children) {
                child.onExit().get(60, TimeUnit.SECONDS);
            }
        } finally {
            runner.destroyForcibly();
        }
    }

    @Test
    void reportsProxyThatCannotStartByNameAndLeavesNothing() throws Exception {
        Scenario scenario = ScenarioReader.parse(
                "test", "[fleet]\nprogram = \"run\"\nproxies = 2\nnodes = 1\nextra = \"[nonsense]\"\n", null);
        assertThatThrownBy(() -> FaultTestRunner.play(scenario, folder, Checker.all(), line -> {}))
                .hasMessageContaining("ended before it was ready, exit code 2")
                .hasMessageContaining("log");
        assertThat(Files.readString(folder.resolve("p1/log"))).contains("unknown key 'nonsense'");
    }
}
