package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.routes.RouteExplanation;
import cacheproxy.routes.RouteInput;
import java.util.List;

/** Explains where requests would be sent under a configuration, without starting it. */
public final class RouteExplainer {
    private final RouteExplanation explain;

    /** Explains this configuration. */
    public RouteExplainer(DaemonConfig file) {
        explain = PoolSettings.explain(file);
    }

    /** The line for a request, preceded by the reasons if {@code why} is set. */
    public List<String> lines(RouteInput subject, boolean why) {
        return explain.lines(subject, why);
    }
}
