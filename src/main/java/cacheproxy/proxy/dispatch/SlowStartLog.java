package cacheproxy.proxy.dispatch;

import cacheproxy.eventlog.ProxyEvent;
import cacheproxy.policy.PolicySettings;
import cacheproxy.policy.SlowStartStatus;
import cacheproxy.proxy.upstream.EventLoopContext;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Tells operators about servers in their slow start: begin and end in the event log, used up budgets also on standard
 * error, and the present state on request. Used on the event loop only.
 */
final class SlowStartLog {
    /** Lines on standard error, of those that a process writes altogether. */
    private static final int MAX_ERROR_LINES = 60;

    /** What was last seen of a server in its slow start. */
    private static final class Observed {
        SlowStartStatus status;
        boolean withheldReported;

        Observed(SlowStartStatus status) {
            this.status = status;
        }
    }

    private final EventLoopContext loopContext;
    private final PolicySettings settings;
    private final PoolServers servers;
    private final Supplier<List<SlowStartStatus>> present;
    private final Map<Integer, Observed> observed = new HashMap<>();
    private int errorLines;
    private long endedAdmitted;
    private long endedWithheld;

    /** @param present returns the servers that are in their slow start now */
    SlowStartLog(
            EventLoopContext loopContext,
            PolicySettings settings,
            PoolServers servers,
            Supplier<List<SlowStartStatus>> present) {
        this.loopContext = loopContext;
        this.settings = settings;
        this.servers = servers;
        this.present = present;
    }

    /** Compares the servers in their slow start with those of the last call, and logs what has changed. */
    void update() {
        List<SlowStartStatus> now = present.get();
        if (now.isEmpty() && observed.isEmpty()) {
            return;
        }
        Set<Integer> ended = new HashSet<>(observed.keySet());
        for (SlowStartStatus status : now) {
            Observed known = observed.get(status.serverId());
            if (known != null && known.status.listedStartMs() != status.listedStartMs()) {
                end(known.status);
                known = null;
            }
            if (known == null) {
                known = begin(status);
            }
            known.status = status;
            reportWithheld(known);
            ended.remove(status.serverId());
        }
        ended.forEach(server -> end(observed.get(server).status));
    }

    private Observed begin(SlowStartStatus status) {
        if (loopContext.events().isEnabled()) {
            loopContext
                    .events()
                    .line(ProxyEvent.SLOW_START_BEGAN)
                    .with("server", servers.name(status.serverId()))
                    .withMs("age_ms", status.ageMs())
                    .with("budget", oneDecimal(status.budget()))
                    .write();
        }
        Observed started = new Observed(status);
        observed.put(status.serverId(), started);
        return started;
    }

    private void end(SlowStartStatus last) {
        observed.remove(last.serverId());
        endedAdmitted += last.admitted();
        endedWithheld += last.withheld();
        if (loopContext.events().isEnabled()) {
            loopContext
                    .events()
                    .line(ProxyEvent.SLOW_START_ENDED)
                    .with("server", servers.name(last.serverId()))
                    .withMs("age_ms", last.ageMs())
                    .with("sent", last.admitted())
                    .with("withheld", last.withheld())
                    .write();
        }
        if (last.withheld() > 0) {
            logLine("slow start of " + servers.name(last.serverId()) + " ended: sent=" + last.admitted() + " withheld="
                    + last.withheld());
        }
    }

    private void reportWithheld(Observed server) {
        SlowStartStatus status = server.status;
        if (server.withheldReported || status.withheld() == 0) {
            return;
        }
        server.withheldReported = true;
        logLine("slow start of " + servers.name(status.serverId()) + ": the budget of " + oneDecimal(status.budget())
                + " requests in " + Math.round(settings.collapseAfterMs()) + " ms was used up at the age of "
                + Math.round(status.ageMs()) + " ms");
    }

    private void logLine(String line) {
        if (errorLines < MAX_ERROR_LINES) {
            errorLines++;
            loopContext.log(line);
        }
    }

    /** Returns a line with the sums, and one for each server in its slow start. */
    String summary() {
        update();
        List<String> lines = new ArrayList<>();
        long admitted = endedAdmitted;
        long withheld = endedWithheld;
        for (SlowStartStatus status : present.get()) {
            admitted += status.admitted();
            withheld += status.withheld();
            lines.add(serverLine(status));
        }
        lines.add(
                0,
                "warming_up=" + lines.size() + " proxies=" + settings.instanceCount() + " multiple="
                        + oneDecimal(settings.collapseLoadMultiple()) + " window_ms="
                        + Math.round(settings.collapseAfterMs()) + " sent=" + admitted + " withheld=" + withheld);
        return String.join("\n", lines);
    }

    private String serverLine(SlowStartStatus status) {
        return "server=" + servers.name(status.serverId()) + " age_ms=" + Math.round(status.ageMs()) + " left_ms="
                + Math.round(settings.warmUpMs() - status.ageMs()) + " budget=" + oneDecimal(status.budget())
                + " used=" + oneDecimal(status.usedCost()) + " sent=" + status.admitted() + " withheld="
                + status.withheld();
    }

    private static String oneDecimal(double value) {
        return String.format(Locale.ROOT, "%.1f", value);
    }
}
