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
 * The history file of a run: a line of JSON for each event, with all times from one clock. Events can be added from any
 * thread and are written by a separate thread; those that don't fit into the queue are counted and dropped.
 */
final class History implements AutoCloseable {
    private static final int QUEUE_LIMIT = 200_000;
    /** Queue element that ends the writer thread. */
    private static final Event END_MARKER = new Event(0, 0, "", "", "", "", 0);

    private final long startNanos = System.nanoTime();
    private final BlockingQueue<Event> queue = new ArrayBlockingQueue<>(QUEUE_LIMIT);
    private final AtomicLong dropped = new AtomicLong();
    private final Thread writer;
    private volatile IOException failure;

    /** Creates a file whose first event is the scenario. */
    History(Path file, Scenario scenario) throws IOException {
        BufferedWriter out = Files.newBufferedWriter(file);
        writer = new Thread(() -> writeAll(out), "history");
        writer.start();
        add(0, Event.RUNNER, Event.SCENARIO, scenario.name(), scenario.toToml(), 0);
    }

    /** Microseconds since the start. */
    long nowUs() {
        return (System.nanoTime() - startNanos) / 1000;
    }

    /** Adds an event that was noticed now; see {@link Event} for its components. */
    void add(long uncertaintyUs, String endpoint, String type, String id, String detail, double value) {
        if (!queue.offer(new Event(nowUs(), uncertaintyUs, endpoint, type, id, detail, value))) {
            dropped.incrementAndGet();
        }
    }

    /** Events that did not fit into the queue. */
    long dropped() {
        return dropped.get();
    }

    @SuppressWarnings("ReferenceEquality") // the end marker is one particular object
    private void writeAll(BufferedWriter out) {
        try (out) {
            for (Event event; (event = queue.take()) != END_MARKER; ) {
                if (failure == null) {
                    write(out, event);
                }
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes an event. After a failure the queue is still emptied, so that no thread waits for space in it. */
    private void write(BufferedWriter out, Event event) {
        try {
            out.write(toJson(event));
            out.write('\n');
        } catch (IOException e) {
            failure = e;
        }
    }

    /** Waits until all events are written; throws if writing failed. */
    void finish() throws IOException, InterruptedException {
        if (writer.isAlive()) {
            queue.put(END_MARKER);
            writer.join();
        }
        if (failure != null) {
            throw failure;
        }
    }

    @Override
    public void close() {
        try {
            finish();
        } catch (IOException e) {
            // An earlier call of finish has thrown this exception, or the file is no longer needed.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static String toJson(Event event) throws IOException {
        StringWriter text = new StringWriter(96);
        try (JsonWriter json = new JsonWriter(text)) {
            json.beginObject();
            json.name("us").value(event.timeUs());
            json.name("off").value(event.uncertaintyUs());
            json.name("who").value(event.endpoint());
            json.name("what").value(event.type());
            if (!event.id().isEmpty()) {
                json.name("id").value(event.id());
            }
            if (!event.detail().isEmpty()) {
                json.name("detail").value(event.detail());
            }
            if (event.value() != 0) {
                json.name("value").value(event.value());
            }
            json.endObject();
        }
        return text.toString();
    }

    private static Event fromJson(String line) throws IOException {
        long timeUs = 0;
        long uncertaintyUs = 0;
        String endpoint = "";
        String type = "";
        String id = "";
        String detail = "";
        double value = 0;
        try (JsonReader json = new JsonReader(new StringReader(line))) {
            json.beginObject();
            while (json.hasNext()) {
                switch (json.nextName()) {
                    case "us" -> timeUs = json.nextLong();
                    case "off" -> uncertaintyUs = json.nextLong();
                    case "who" -> endpoint = json.nextString();
                    case "what" -> type = json.nextString();
                    case "id" -> id = json.nextString();
                    case "detail" -> detail = json.nextString();
                    case "value" -> value = json.nextDouble();
                    default -> json.skipValue();
                }
            }
            json.endObject();
        }
        return new Event(timeUs, uncertaintyUs, endpoint, type, id, detail, value);
    }

    /** Reads a history file; a ConfigException names the malformed line, or says that there is no scenario. */
    static RunHistory read(Path file) throws IOException, ConfigException {
        List<Event> events = new ArrayList<>();
        Scenario scenario = null;
        try (BufferedReader lines = Files.newBufferedReader(file)) {
            int lineNumber = 0;
            for (String line; (line = lines.readLine()) != null; ) {
                lineNumber++;
                Event event = parse(line, file + ":" + lineNumber + ":1");
                if (event.is(Event.SCENARIO)) {
                    scenario = ScenarioReader.parse(event.id(), event.detail(), null);
                } else {
                    events.add(event);
                }
            }
        }
        if (scenario == null) {
            throw ConfigException.of(List.of(file + ":1:1: no scenario found; is this a history file?"));
        }
        return new RunHistory(scenario, events);
    }

    private static Event parse(String line, String place) throws ConfigException {
        try {
            return fromJson(line);
        } catch (IOException | IllegalStateException | NumberFormatException e) {
            throw ConfigException.of(List.of(place + ": not a valid event: " + e.getMessage()));
        }
    }
}
