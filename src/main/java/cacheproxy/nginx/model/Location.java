package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A {@code location} block: which paths it matches, and the locations nested in it. Compared by identity. */
public final class Location {
    /** How a location's text is matched with a path. */
    public enum Kind {
        /** {@code =}: the whole path. */
        EXACT,
        /** No modifier: a prefix of the path. */
        PREFIX,
        /** {@code ^~}: a prefix that, if it is the longest, ends the search before patterns are tried. */
        PREFIX_WITHOUT_REGEX,
        /** {@code ~}: a pattern. */
        REGEX,
        /** {@code ~*}: a pattern that ignores case. */
        REGEX_IGNORING_CASE,
        /** {@code @name}: reached by name only. */
        NAMED;

        /** Whether the longest match decides, not the order. */
        public boolean isPrefix() {
            return this == PREFIX || this == PREFIX_WITHOUT_REGEX;
        }

        /** Whether the text is a pattern; the first match in order decides. */
        public boolean isRegex() {
            return this == REGEX || this == REGEX_IGNORING_CASE;
        }
    }

    private final Kind kind;
    private final String text;
    private final Directive directive;
    private final Location parent;
    private final List<Location> children = new ArrayList<>();

    Location(Kind kind, String text, Directive directive, Location parent) {
        this.kind = kind;
        this.text = text;
        this.directive = directive;
        this.parent = parent;
    }

    /** How {@link #text} is matched. */
    public Kind kind() {
        return kind;
    }

    /** A path, a pattern, or a name with its {@code @}. */
    public String text() {
        return text;
    }

    /** The {@code location} directive itself. */
    public Directive directive() {
        return directive;
    }

    /** The location around this one; null at the server's level. */
    public Location parent() {
        return parent;
    }

    /** The locations directly within this one, in order. */
    public List<Location> children() {
        return Collections.unmodifiableList(children);
    }

    /** Number of locations around this one. */
    int depth() {
        return parent == null ? 0 : parent.depth() + 1;
    }

    /** Adds locations, while the model is built. */
    void addChildren(List<Location> nested) {
        children.addAll(nested);
    }

    @Override
    public String toString() {
        return directive.toString();
    }
}
