package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.routes.Explain;
import cacheproxy.routes.RouteInput;
import java.util.List;

/** Answers where requests go by a file, without starting it. */
public final class RouteExplainer {
    private final Explain explain;

    public RouteExplainer(DaemonConfig file) {
        explain = PoolSettings.explain(file);
    }

    /** The line for a request, and with {@code why} those on how it came to it. */
    public List<String> lines(RouteInput subject, boolean why) {
        return explain.lines(subject, why);
    }
}
