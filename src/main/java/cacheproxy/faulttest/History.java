package cacheproxy.faulttest;

import cacheproxy.config.ConfigException;
import cacheproxy.faulttest.check.Event;
import cacheproxy.faulttest.check.RunHistory;
import cacheproxy.faulttest.scenario.Scenario;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonWriter;
import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.StringReader;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * All events of a run in one file, a line of JSON each, on one clock. From any thread; what does not fit is counted.
 */
final class History implements AutoCloseable {
    private static final int WAITING = 200_000;
    private static final Event END = new Event(0, 0, "", "", "", "", 0);

    private final long startNanos = System.nanoTime();
    private final BlockingQueue<Event> waiting = new ArrayBlockingQueue<>(WAITING);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private volatile IOException failed;

    History(Path file, Scenario scenario) throws IOException {
        BufferedWriter out = Files.newBufferedWriter(file);
        writer = new Thread(() -> write(out), "history");
        writer.start();
        add(0, "rig", Event.SCENARIO, scenario.name(), scenario.toToml(), 0);
    }

    /** Microseconds since the start. */
    long now() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    void add(long offUs, String who, String what, String id, String detail, double value) {
        if (!waiting.offer(new Event(now(), offUs, who, what, id, detail, value))) {
            dropped.incrementAndGet();
        }
    }

    long dropped() {
        return dropped.get();
    }

    @SuppressWarnings("ReferenceEquality") // identity is meant
    private void write(BufferedWriter out) {
        try (out) {
            for (Event e; (e = waiting.take()) != END; ) {
                if (failed == null) {
                    try {
                        out.write(line(e));
                        out.write('\n');
                    } catch (IOException f) {
                        failed = f;
                    }
                }
            }
        } catch (IOException f) {
            failed = f;
        } catch (InterruptedException f) {
            Thread.currentThread().interrupt();
        }
    }

    /** Waits until all is written; throws if it could not be. */
    void finish() throws IOException, InterruptedException {
        if (writer.isAlive()) {
            waiting.put(END);
            writer.join();
        }
        if (failed != null) {
            throw failed;
        }
    }

    @Override
    public void close() {
        try {
            finish();
        } catch (IOException e) {
            // finish has told it, or nobody asks for the file any more
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static String line(Event e) throws IOException {
        StringWriter text = new StringWriter(96);
        try (JsonWriter json = new JsonWriter(text)) {
            json.beginObject()
                    .name("us")
                    .value(e.timeUs())
                    .name("off")
                    .value(e.uncertaintyUs())
                    .name("who")
                    .value(e.endpoint())
                    .name("what")
                    .value(e.type());
            if (!e.id().isEmpty()) {
                json.name("id").value(e.id());
            }
            if (!e.detail().isEmpty()) {
                json.name("detail").value(e.detail());
            }
            if (e.value() != 0) {
                json.name("value").value(e.value());
            }
            json.endObject();
        }
        return text.toString();
    }

    static Event event(String line) throws IOException {
        long us = 0;
        long off = 0;
        String who = "";
        String what = "";
        String id = "";
        String detail = "";
        double value = 0;
        try (JsonReader json = new JsonReader(new StringReader(line))) {
            json.beginObject();
            while (json.hasNext()) {
                switch (json.nextName()) {
                    case "us" -> us = json.nextLong();
                    case "off" -> off = json.nextLong();
                    case "who" -> who = json.nextString();
                    case "what" -> what = json.nextString();
                    case "id" -> id = json.nextString();
                    case "detail" -> detail = json.nextString();
                    case "value" -> value = json.nextDouble();
                    default -> json.skipValue();
                }
            }
            json.endObject();
        }
        return new Event(us, off, who, what, id, detail, value);
    }

    /** Reads a file; the exception says which line is of no use. */
    static RunHistory read(Path file) throws IOException, ConfigException {
        List<Event> events = new ArrayList<>();
        Scenario scenario = null;
        try (BufferedReader in = Files.newBufferedReader(file)) {
            int n = 0;
            for (String line; (line = in.readLine()) != null; ) {
                n++;
                Event e;
                try {
                    e = event(line);
                } catch (IOException | IllegalStateException | NumberFormatException x) {
                    throw ConfigException.of(List.of(file + ":" + n + ":1: no event: " + x.getMessage()));
                }
                if (e.type().equals(Event.SCENARIO)) {
                    scenario = ScenarioReader.parse(e.id(), e.detail(), null);
                } else {
                    events.add(e);
                }
            }
        }
        if (scenario == null) {
            throw ConfigException.of(List.of(file + ":1:1: no scenario in it; is it a history?"));
        }
        return new RunHistory(scenario, events);
    }
}
