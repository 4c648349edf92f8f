package cacheproxy.nginx.importer;

import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Set;

/**
 * The outcome of the import for each directive. Every directive has an entry: {@link DirectiveTable} provides the entry
 * if no other part of the importer has added one.
 */
public final class Report {
    private static final int MAX_DIRECTIVE_LENGTH = 80;
    private static final String ELLIPSIS = "...";

    /** The possible outcomes for a directive, the worst last. */
    public enum Level {
        /** It does not affect where requests go. */
        LEFT("left"),
        /** The imported file has the same effect. */
        CARRIED("carried"),
        /** The imported file has a similar effect; the entry's text describes the difference. */
        CHANGED("changed"),
        /** Requests are treated differently than by nginx; the entry's text says which requests and how. */
        NOT("not carried");

        /** The level's name for operators. */
        public final String text;

        Level(String text) {
            this.text = text;
        }
    }

    /**
     * An entry.
     *
     * @param text remarks for operators; can be empty
     */
    public record Entry(Directive directive, Level level, String text) {}

    /** Entries by directive, collected until {@link #finish} is called. */
    private final IdentityHashMap<Directive, List<Entry>> entriesByDirective = new IdentityHashMap<>();
    /** The directives with entries, in the order in which they got their first entry. */
    private final List<Directive> directives = new ArrayList<>();

    private List<Entry> entries = List.of();
    private final List<String> notes = new ArrayList<>();

    /** Adds an entry, unless the directive is null or already has an equal entry. */
    public void add(Directive directive, Level level, String text) {
        if (directive == null) {
            return;
        }
        List<Entry> directiveEntries = entriesByDirective.computeIfAbsent(directive, absent -> {
            directives.add(directive);
            return new ArrayList<>(1);
        });
        if (directiveEntries.stream().noneMatch(entry -> entry.level == level && entry.text.equals(text))) {
            directiveEntries.add(new Entry(directive, level, text));
        }
    }

    /** Reports a directive as carried over, unless it already has an entry. */
    void carried(Directive directive) {
        if (!entriesByDirective.containsKey(directive)) {
            add(directive, Level.CARRIED, "");
        }
    }

    /** Reports a directive as not carried over. */
    void notCarried(Directive directive, String text) {
        add(directive, Level.NOT, text);
    }

    /** Reports a directive as carried over with a difference. */
    void changed(Directive directive, String text) {
        add(directive, Level.CHANGED, text);
    }

    /** Adds a remark that does not concern a single directive. */
    void note(String text) {
        notes.add(text);
    }

    /** Returns the remarks that do not concern a single directive. */
    public List<String> notes() {
        return Collections.unmodifiableList(notes);
    }

    /** Adds entries for the remaining directives, and sorts all entries into the order of the configuration. */
    void finish(ConfParser.Conf conf) {
        List<Entry> ordered = new ArrayList<>();
        addInOrder(conf.directives(), false, ordered);
        addDropped(ordered);
        conf.emptyIncludes()
                .forEach(empty -> ordered.add(new Entry(empty.include(), Level.LEFT, "no file has such a name")));
        entries = ordered;
    }

    private void addInOrder(List<Directive> directives, boolean withinNotCarried, List<Entry> into) {
        for (Directive directive : directives) {
            List<Entry> directiveEntries = entriesByDirective.get(directive);
            if (directiveEntries == null) {
                directiveEntries = List.of(DirectiveTable.defaultEntry(directive, withinNotCarried));
            }
            Level worst = directiveEntries.stream()
                    .map(Entry::level)
                    .max(Level::compareTo)
                    .orElse(Level.NOT);
            // "Carried" is omitted if the directive also has a worse entry.
            directiveEntries.stream()
                    .filter(entry -> worst == Level.CARRIED || entry.level != Level.CARRIED)
                    .forEach(into::add);
            if (directive.block() != null && !isReportedAsWhole(directive, directiveEntries, worst)) {
                addInOrder(directive.block(), worst == Level.NOT || withinNotCarried, into);
            }
        }
    }

    /** Whether a directive's entries also cover everything in its block. */
    private static boolean isReportedAsWhole(Directive directive, List<Entry> directiveEntries, Level worst) {
        if (DirectiveTable.isReportedWithBlock(directive)) {
            return true;
        }
        if (worst != Level.NOT) {
            return false;
        }
        boolean rejectedLocation = directive.name().equals("location")
                && directiveEntries.stream().anyMatch(entry -> entry.text.startsWith("nginx refuses"));
        return rejectedLocation || directive.name().equals("if");
    }

    /** Adds the entries of directives that were dropped from the tree. */
    private void addDropped(List<Entry> ordered) {
        Set<Directive> reported = Collections.newSetFromMap(new IdentityHashMap<>());
        ordered.forEach(entry -> reported.add(entry.directive));
        directives.stream()
                .filter(directive -> !reported.contains(directive))
                .flatMap(directive -> entriesByDirective.get(directive).stream())
                .filter(entry -> entry.level == Level.NOT)
                .forEach(ordered::add);
    }

    /** Returns all entries in the order of the configuration; empty until {@link #finish} has been called. */
    public List<Entry> entries() {
        return Collections.unmodifiableList(entries);
    }

    /** Returns the number of entries with a level. */
    public long count(Level level) {
        return entries.stream().filter(entry -> entry.level == level).count();
    }

    /** Whether everything was carried over, possibly with changes. */
    public boolean isComplete() {
        return count(Level.NOT) == 0;
    }

    /**
     * Returns lines for operators: all entries except those carried over unchanged, notes, and the count of each level.
     */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (Entry entry : entries) {
            if (entry.level != Level.CARRIED) {
                lines.add(entry.directive.position() + ": " + entry.level.text + ": " + shortened(entry.directive)
                        + (entry.text.isEmpty() ? "" : ": " + entry.text));
            }
        }
        notes.forEach(note -> lines.add("note: " + note));
        lines.add(count(Level.CARRIED) + " carried, " + count(Level.CHANGED) + " changed, " + count(Level.LEFT)
                + " left, " + count(Level.NOT) + " not carried");
        return lines;
    }

    private static String shortened(Directive directive) {
        String text = directive.toString().replaceAll("\\s+", " ");
        return text.length() <= MAX_DIRECTIVE_LENGTH
                ? text
                : text.substring(0, MAX_DIRECTIVE_LENGTH - ELLIPSIS.length()) + ELLIPSIS;
    }
}
