package cacheproxy.proxy.request;

/**
 * The position of the deadline in a request's attributes ({@code c=read,t=acme,d=480}), so that each attempt can be
 * sent with the time that is left without parsing the attributes again.
 *
 * @param valueStart the index at which the deadline's value begins; the length of the attributes if they have no
 *     deadline
 * @param valueEnd the index after the value
 * @param prefix the text to insert before the value if the attributes have no deadline; otherwise empty
 */
record DeadlineField(int valueStart, int valueEnd, String prefix) {
    private static final String NAME = "d";
    private static final String SEPARATOR_AND_NAME = ",d=";

    /** Finds the deadline in attributes that have at most one; see {@link #withoutRepeats}. */
    static DeadlineField in(String attributes) {
        int start = MetaCodec.attributeValueIndex(attributes, NAME);
        if (start < 0) {
            int length = attributes.length();
            return new DeadlineField(length, length, attributes.isEmpty() ? "d=" : SEPARATOR_AND_NAME);
        }
        int end = attributes.indexOf(',', start);
        return new DeadlineField(start, end < 0 ? attributes.length() : end, "");
    }

    /**
     * Returns the attributes without any deadline after the first. Readers differ in which of several deadlines they
     * use, so a second one could give a server the client's original deadline.
     */
    static String withoutRepeats(String attributes) {
        int first = MetaCodec.attributeValueIndex(attributes, NAME);
        int repeat = first < 0 ? -1 : attributes.indexOf(SEPARATOR_AND_NAME, first);
        if (repeat < 0) {
            return attributes;
        }
        StringBuilder result = new StringBuilder(attributes);
        while (repeat >= 0) {
            int end = result.indexOf(",", repeat + 1);
            result.delete(repeat, end < 0 ? result.length() : end);
            repeat = result.indexOf(SEPARATOR_AND_NAME, first);
        }
        return result.toString();
    }

    /** Returns the attributes before the deadline's value. */
    String before(String attributes) {
        return attributes.substring(0, valueStart) + prefix;
    }

    /** Returns the attributes after the deadline's value. */
    String after(String attributes) {
        return attributes.substring(valueEnd);
    }
}
