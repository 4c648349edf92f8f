package cacheproxy.daemon;

import cacheproxy.config.DaemonConfig;
import cacheproxy.routes.RouteExplanation;
import cacheproxy.routes.RouteInput;
import java.util.List;

/** Explains where requests would be sent under a configuration, without starting it. */
public final class RouteExplainer {
    private final RouteExplanation explanation;

    /** Creates an explainer for a configuration. */
    public RouteExplainer(DaemonConfig file) {
        explanation = PoolSettings.explain(file);
    }

    /** Returns the line for a request, preceded by the reasons if {@code why} is set. */
    public List<String> lines(RouteInput input, boolean why) {
        return explanation.lines(input, why);
    }
}
