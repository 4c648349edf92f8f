package cacheproxy.nginx.importer;

import cacheproxy.nginx.Directive;
import cacheproxy.nginx.model.Location;
import cacheproxy.nginx.model.LocationSearch;
import cacheproxy.routes.KeyPattern;
import cacheproxy.routes.PathKey;

/** Finds the single location that takes all paths that a rewrite can result in. */
final class RewrittenPathSearch {
    private final ServerContext context;

    RewrittenPathSearch(ServerContext context) {
        this.context = context;
    }

    /**
     * Finds the location of a path.
     *
     * @param directive the directive to report if some paths would go to another location
     * @return null if the path can belong to several locations, or belongs to none
     */
    Location find(Expression path, Directive directive) {
        boolean isLiteral = path.isLiteral();
        String literalPrefix = isLiteral ? path.literal() : path.literalPrefix();
        if (!literalPrefix.startsWith("/")) {
            return null;
        }
        if (isLiteral) {
            LocationSearch.Step exact = exactStep(literalPrefix);
            if (exact != null) {
                return exact.redirect() ? null : exact.location();
            }
            return findLiteral(literalPrefix);
        }
        return dependsOnRest(literalPrefix) ? null : findByPrefix(path, literalPrefix, directive);
    }

    private LocationSearch.Step exactStep(String path) {
        for (LocationSearch.Step step : context.search().steps()) {
            if (path.equals(step.exact())) {
                return step;
            }
        }
        return null;
    }

    /** Whether a path that begins with this prefix can belong to a location whose text is longer. */
    private boolean dependsOnRest(String literalPrefix) {
        for (LocationSearch.Step step : context.search().steps()) {
            String text = step.exact() != null ? step.exact() : step.prefix();
            if (text != null && text.length() > literalPrefix.length() && text.startsWith(literalPrefix)) {
                return true;
            }
        }
        return false;
    }

    private Location findLiteral(String path) {
        String encoded = PathKey.encodePercent(path);
        Candidates candidates = new Candidates(path);
        for (LocationSearch.Step step : context.search().steps()) {
            if (!candidates.accepts(step)) {
                continue;
            }
            if (step.regexes().isEmpty()) {
                candidates.addPrefix(step);
            } else if (step.regexes().stream().allMatch(regex -> matches(regex, encoded))) {
                return step.location();
            }
        }
        return candidates.longest;
    }

    private boolean matches(Location regex, String encodedPath) {
        String pattern = context.patterns().of(regex);
        return pattern != null && new KeyPattern(pattern).matches(encodedPath);
    }

    private Location findByPrefix(Expression path, String literalPrefix, Directive directive) {
        Candidates candidates = new Candidates(literalPrefix);
        boolean patternsTried = false;
        for (LocationSearch.Step step : context.search().steps()) {
            if (!candidates.accepts(step)) {
                continue;
            }
            if (step.regexes().isEmpty()) {
                candidates.addPrefix(step);
            } else {
                patternsTried = true;
            }
        }
        if (patternsTried && candidates.longest != null) {
            context.report()
                    .notCarried(
                            directive,
                            "paths rewritten to " + path + " go to location " + candidates.longest.text()
                                    + "; so do those that a pattern location would take");
        }
        return candidates.longest;
    }

    /** Selects the steps that apply to a path, and records the longest prefix among them. */
    private static final class Candidates {
        private final String path;
        /** The prefix whose own search decides; null: none so far. The steps contain the longest prefix first. */
        private String ownSearch;

        private Location longest;
        private int longestLength;

        Candidates(String path) {
            this.path = path;
        }

        boolean accepts(LocationSearch.Step step) {
            boolean otherPath = step.exact() != null || (step.prefix() != null && !path.startsWith(step.prefix()));
            if (otherPath || (ownSearch != null && !ownSearch.equals(step.prefix()))) {
                return false;
            }
            if (step.tier() == LocationSearch.Tier.OWN_SEARCH) {
                ownSearch = step.prefix();
            }
            return true;
        }

        void addPrefix(LocationSearch.Step step) {
            if (longest == null || step.prefix().length() > longestLength) {
                longest = step.location();
                longestLength = step.prefix().length();
            }
        }
    }
}
