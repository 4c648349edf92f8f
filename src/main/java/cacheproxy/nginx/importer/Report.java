package cacheproxy.nginx.importer;

import cacheproxy.nginx.ConfParser;
import cacheproxy.nginx.Directive;
import java.util.ArrayList;
import java.util.IdentityHashMap;
import java.util.List;

/** What became of each directive. None is without an entry: what nothing has spoken of is told as not carried. */
public final class Report {
    /** What can become of a directive, the worst last. */
    public enum Level {
        /** It says nothing about where requests go. */
        LEFT("left"),
        /** The file says the same. */
        CARRIED("carried"),
        /** The file says something near it; the text tells the difference. */
        CHANGED("changed"),
        /** Requests fare otherwise than before; the text tells which and how. */
        NOT("not carried");

        public final String text;

        Level(String text) {
            this.text = text;
        }
    }

    /** One entry. */
    public record Entry(Directive directive, Level level, String text) {}

    private final IdentityHashMap<Directive, List<Entry>> entries = new IdentityHashMap<>();
    private List<Entry> inOrder = List.of();
    private final List<String> notes = new ArrayList<>();

    /** Says what becomes of a directive; said twice, it is told once. */
    public void add(Directive d, Level level, String text) {
        if (d == null) {
            return;
        }
        List<Entry> list = entries.computeIfAbsent(d, k -> new ArrayList<>(1));
        if (list.stream().noneMatch(e -> e.level == level && e.text.equals(text))) {
            list.add(new Entry(d, level, text));
        }
    }

    void carried(Directive d) {
        if (!entries.containsKey(d)) {
            add(d, Level.CARRIED, "");
        }
    }

    void not(Directive d, String text) {
        add(d, Level.NOT, text);
    }

    void changed(Directive d, String text) {
        add(d, Level.CHANGED, text);
    }

    /** Something to know that belongs to no directive. */
    void note(String text) {
        notes.add(text);
    }

    public List<String> notes() {
        return notes;
    }

    /** Tells of all that nothing has been said of, and puts the entries into the configuration's order. */
    void finish(ConfParser.Conf conf) {
        List<Entry> all = new ArrayList<>();
        finish(conf.directives(), false, all);
        // What has been left out of the tree has entries, too.
        IdentityHashMap<Directive, Boolean> told = new IdentityHashMap<>();
        all.forEach(e -> told.put(e.directive, true));
        entries.forEach((d, own) -> own.stream()
                .filter(e -> !told.containsKey(d) && e.level == Level.NOT)
                .forEach(all::add));
        conf.empty().forEach(e -> all.add(new Entry(e.include(), Level.LEFT, "no file has such a name")));
        inOrder = all;
    }

    private void finish(List<Directive> directives, boolean within, List<Entry> all) {
        for (Directive d : directives) {
            List<Entry> own = entries.get(d);
            if (own == null) {
                own = List.of(DirectiveTable.unspoken(d, within));
            }
            // Carried as far as nothing else was said.
            Level worst = own.stream().map(Entry::level).max(Level::compareTo).orElse(Level.NOT);
            own.stream()
                    .filter(e -> worst == Level.CARRIED || e.level != Level.CARRIED)
                    .forEach(all::add);
            boolean whole = DirectiveTable.isWhole(d)
                    || (worst == Level.NOT
                            && (d.name().equals("if")
                                    || (d.name().equals("location")
                                            && own.stream().anyMatch(e -> e.text.startsWith("nginx refuses")))));
            if (d.block() != null && !whole) {
                finish(d.block(), worst == Level.NOT || within, all);
            }
        }
    }

    /** In the configuration's order. */
    public List<Entry> entries() {
        return inOrder;
    }

    public long count(Level level) {
        return inOrder.stream().filter(e -> e.level == level).count();
    }

    /** Whether nothing was not carried over. */
    public boolean complete() {
        return count(Level.NOT) == 0;
    }

    /** Lines for people: what needs their attention, then the counts. */
    public List<String> lines() {
        List<String> lines = new ArrayList<>();
        for (Entry e : inOrder) {
            if (e.level != Level.CARRIED) {
                lines.add(e.directive.at() + ": " + e.level.text + ": " + shortened(e.directive)
                        + (e.text.isEmpty() ? "" : ": " + e.text));
            }
        }
        notes.forEach(n -> lines.add("note: " + n));
        lines.add(count(Level.CARRIED) + " carried, " + count(Level.CHANGED) + " changed, " + count(Level.LEFT)
                + " left, " + count(Level.NOT) + " not carried");
        return lines;
    }

    static String shortened(Directive d) {
        String text = d.toString().replaceAll("\\s+", " ");
        return text.length() <= 80 ? text : text.substring(0, 77) + "...";
    }
}
