package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.List;

/** A {@code location} block: what it matches, what is in it. Identity counts, not equality. */
public final class Location {
    /** How a location's text is held against a path. */
    public enum Kind {
        EXACT,
        PREFIX,
        /** {@code ^~}: a prefix that, where it is the longest, keeps patterns from being tried. */
        PREFIX_ALONE,
        REGEX,
        REGEX_ANY_CASE,
        NAMED;

        /** Whether it is found by the longest match, not by order. */
        public boolean isPrefix() {
            return this == PREFIX || this == PREFIX_ALONE;
        }

        public boolean isRegex() {
            return this == REGEX || this == REGEX_ANY_CASE;
        }
    }

    public final Kind kind;
    /** A path, a pattern, or a name with its {@code @}. */
    public final String text;

    public final Directive directive;
    /** Null at the server's level. */
    public final Location parent;

    public final List<Location> children = new ArrayList<>();

    Location(Kind kind, String text, Directive directive, Location parent) {
        this.kind = kind;
        this.text = text;
        this.directive = directive;
        this.parent = parent;
    }

    @Override
    public String toString() {
        return directive.toString();
    }
}
