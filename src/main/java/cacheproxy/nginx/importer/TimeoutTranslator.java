package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Translates timeouts and retry limits from all blocks that set them to limits that apply to all requests. */
final class TimeoutTranslator {
    /** nginx's default for {@code proxy_read_timeout}. */
    private static final double DEFAULT_DEADLINE_MS = 60_000;

    private static final double MIN_DEADLINE_MS = 1;
    private static final double MAX_DEADLINE_MS = 3_600_000;
    private static final double MIN_CONNECT_TIMEOUT_MS = 10;
    private static final double MAX_CONNECT_TIMEOUT_MS = 60_000;
    private static final double MIN_ATTEMPTS = 1;
    private static final double MAX_ATTEMPTS = 8;

    private final Report report;
    /** The shortest connect timeout; 0: none so far. */
    private double connectTimeoutMs;
    /** The longest read timeout; 0: none so far. */
    private double readTimeoutMs;
    /** The lowest number of attempts; 0: none so far. */
    private double maxAttempts;

    private TimeoutTranslator(Report report) {
        this.report = report;
    }

    /** Translates all timeouts within these directives. */
    static RequestLimits translate(List<Directive> http, Report report) {
        TimeoutTranslator translator = new TimeoutTranslator(report);
        translator.visit(http);
        return translator.limits();
    }

    private void visit(List<Directive> directives) {
        for (Directive directive : directives) {
            visit(directive);
            if (directive.block() != null && !DirectiveTable.isReportedWithBlock(directive)) {
                visit(directive.block());
            }
        }
    }

    private void visit(Directive directive) {
        switch (directive.name()) {
            case "proxy_connect_timeout" -> addConnectTimeout(directive);
            case "proxy_read_timeout" -> addReadTimeout(directive);
            case "proxy_next_upstream_tries" -> {
                addAttempts(directive.arg(0));
                report.changed(directive, "one bound for all requests, the least: max_attempts, from 1 to 8");
            }
            case "proxy_next_upstream_timeout" ->
                report.changed(
                        directive, "requests are tried again as long as their deadline leaves time for an answer");
            case "proxy_next_upstream" -> reportRetryConditions(directive);
            default -> {}
        }
    }

    private void addConnectTimeout(Directive directive) {
        double ms = Durations.parseMs(directive.arg(0));
        if (ms < 0) {
            reportInvalidDuration(directive);
            return;
        }
        connectTimeoutMs = connectTimeoutMs == 0 ? ms : Math.min(connectTimeoutMs, ms);
        report.changed(directive, "one bound for all servers, the shortest: connect_timeout_ms, from 10 to 60,000");
    }

    private void addReadTimeout(Directive directive) {
        double ms = Durations.parseMs(directive.arg(0));
        if (ms < 0) {
            reportInvalidDuration(directive);
            return;
        }
        readTimeoutMs = Math.max(readTimeoutMs, ms);
        report.changed(directive, "one deadline for all requests, the longest, and for the whole answer");
    }

    private void reportInvalidDuration(Directive directive) {
        report.notCarried(
                directive, "'" + directive.arg(0) + "' is not a duration such as 500ms or 2s; it sets nothing");
    }

    private void addAttempts(String text) {
        int tries = text.matches("[0-9]{1,6}") ? Integer.parseInt(text) : 0;
        if (tries > 0) { // in nginx, 0 means no limit
            maxAttempts = maxAttempts == 0 ? tries : Math.min(maxAttempts, tries);
        }
    }

    private void reportRetryConditions(Directive directive) {
        List<String> conditions = directive.args();
        if (conditions.contains("non_idempotent")) {
            report.notCarried(directive, "non_idempotent is refused: a write that may have run would run twice");
        }
        if (conditions.contains("off")) {
            report.notCarried(
                    directive,
                    "reads that fail on one server are retried on another; max_attempts = 1 would prevent this for all "
                            + "requests");
            return;
        }
        List<String> statuses = conditions.stream()
                .filter(condition -> condition.startsWith("http_") || condition.equals("invalid_header"))
                .toList();
        if (statuses.isEmpty()) {
            report.carried(directive);
        } else {
            report.changed(
                    directive, "servers report no statuses here: " + String.join(", ", statuses) + " are ignored");
        }
    }

    private RequestLimits limits() {
        Map<String, Double> limits = new LinkedHashMap<>();
        if (connectTimeoutMs > 0) {
            limits.put("connect_timeout_ms", clamped(connectTimeoutMs, MIN_CONNECT_TIMEOUT_MS, MAX_CONNECT_TIMEOUT_MS));
        }
        if (maxAttempts > 0) {
            limits.put("max_attempts", clamped(maxAttempts, MIN_ATTEMPTS, MAX_ATTEMPTS));
        }
        double deadlineMs =
                readTimeoutMs > 0 ? clamped(readTimeoutMs, MIN_DEADLINE_MS, MAX_DEADLINE_MS) : DEFAULT_DEADLINE_MS;
        return new RequestLimits(limits, deadlineMs);
    }

    private static double clamped(double value, double min, double max) {
        return Math.max(min, Math.min(max, value));
    }
}
