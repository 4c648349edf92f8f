package cacheproxy.cli;

import cacheproxy.nginx.importer.Report;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

/** Writes an import's report as JSON. */
final class ImportReportJson {
    private ImportReportJson() {}

    /** Returns the report as an indented JSON object, followed by a line feed. */
    static String write(Report report) {
        JsonObject root = new JsonObject();
        root.add("entries", entries(report));
        JsonArray notes = new JsonArray();
        report.notes().forEach(notes::add);
        root.add("notes", notes);
        for (Report.Level level : Report.Level.values()) {
            root.addProperty(level.text.replace(' ', '_'), report.count(level));
        }
        return new GsonBuilder()
                        .setPrettyPrinting()
                        .disableHtmlEscaping()
                        .create()
                        .toJson(root) + "\n";
    }

    private static JsonArray entries(Report report) {
        JsonArray entries = new JsonArray();
        for (Report.Entry entry : report.entries()) {
            JsonObject json = new JsonObject();
            json.addProperty("file", entry.directive().position().file());
            json.addProperty("line", entry.directive().position().line());
            json.addProperty("column", entry.directive().position().column());
            json.addProperty("directive", entry.directive().toString());
            json.addProperty("became", entry.level().text);
            json.addProperty("text", entry.text());
            entries.add(json);
        }
        return entries;
    }
}
