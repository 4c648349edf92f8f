package cacheproxy.proxy.request;

/**
 * Where a request's list of names and values ({@code c=read,t=acme,d=480}) has its deadline, so that each attempt can
 * be told the time that is left without reading the list again.
 *
 * @param from where the deadline's figure begins in the list; the list's length where it names none
 * @param to where the figure ends
 * @param prefix what has to stand before the figure where the list names no deadline; else empty
 */
record DeadlineField(int from, int to, String prefix) {
    private static final String NAME = "d";
    private static final String NEXT = ",d=";

    /** The place in a list that names the deadline at most once; see {@link #withoutRepeats}. */
    static DeadlineField in(String list) {
        int from = MetaCodec.attributeValueIndex(list, NAME);
        if (from < 0) {
            return new DeadlineField(list.length(), list.length(), list.isEmpty() ? "d=" : NEXT);
        }
        int end = list.indexOf(',', from);
        return new DeadlineField(from, end < 0 ? list.length() : end, "");
    }

    /**
     * The list with its first deadline alone. Which of several counts is for each reader to choose, so that a second
     * one would tell a server what the client had at first.
     */
    static String withoutRepeats(String list) {
        int first = MetaCodec.attributeValueIndex(list, NAME);
        int next = first < 0 ? -1 : list.indexOf(NEXT, first);
        if (next < 0) {
            return list;
        }
        StringBuilder rest = new StringBuilder(list);
        while (next >= 0) {
            int end = rest.indexOf(",", next + 1);
            rest.delete(next, end < 0 ? rest.length() : end);
            next = rest.indexOf(NEXT, first);
        }
        return rest.toString();
    }

    /** The list before the figure. */
    String before(String list) {
        return list.substring(0, from) + prefix;
    }

    /** The list after the figure. */
    String after(String list) {
        return list.substring(to);
    }
}
