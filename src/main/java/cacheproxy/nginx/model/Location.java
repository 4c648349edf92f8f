package cacheproxy.nginx.model;

import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A {@code location} block: the paths that it matches, and its nested locations. Compared by identity. */
public final class Location {
    /** How a location's text is matched against a path. */
    public enum Kind {
        /** {@code =}: the whole path. */
        EXACT,
        /** No modifier: a prefix of the path. */
        PREFIX,
        /** {@code ^~}: a prefix that, if it is the longest match, ends the search before patterns are tried. */
        PREFIX_WITHOUT_REGEX,
        /** {@code ~}: a pattern. */
        REGEX,
        /** {@code ~*}: a pattern that ignores case. */
        REGEX_IGNORING_CASE,
        /** {@code @name}: reached only by its name. */
        NAMED;

        /** Whether the text is a prefix; the longest match decides, not the order. */
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

    /** Returns how {@link #text} is matched. */
    public Kind kind() {
        return kind;
    }

    /** Returns the path, the pattern, or the name with its {@code @}. */
    public String text() {
        return text;
    }

    /** Returns the {@code location} directive itself. */
    public Directive directive() {
        return directive;
    }

    /** Returns the enclosing location; null at the server's level. */
    public Location parent() {
        return parent;
    }

    /** Returns the locations directly nested in this one, in order. */
    public List<Location> children() {
        return Collections.unmodifiableList(children);
    }

    /** Returns the number of enclosing locations. */
    int depth() {
        return parent == null ? 0 : parent.depth() + 1;
    }

    /** Adds nested locations; called only while the model is built. */
    void addChildren(List<Location> nested) {
        children.addAll(nested);
    }

    @Override
    public String toString() {
        return directive.toString();
    }
}
