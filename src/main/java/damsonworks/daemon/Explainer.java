package damsonworks.daemon;

import damsonworks.config.DaemonFile;
import damsonworks.routes.Explain;
import damsonworks.routes.Subject;
import java.util.List;

/** Answers where requests go by a file, without starting it. */
public final class Explainer {
    private final Explain explain;

    public Explainer(DaemonFile file) {
        explain = PoolSettings.explain(file);
    }

    /** The line for a request, and with {@code why} those on how it came to it. */
    public List<String> lines(Subject subject, boolean why) {
        return explain.lines(subject, why);
    }
}
