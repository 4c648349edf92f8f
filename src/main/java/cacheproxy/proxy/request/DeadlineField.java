package cacheproxy.proxy.request;

/**
 * Where a request's attributes ({@code c=read,t=acme,d=480}) have the deadline, so that each attempt can be sent with
 * the time that is left without parsing them again.
 *
 * @param valueStart the index at which the deadline's figure begins; the length of the attributes if they name none
 * @param valueEnd the index behind the figure
 * @param prefix what has to stand before the figure if the attributes name no deadline; otherwise empty
 */
record DeadlineField(int valueStart, int valueEnd, String prefix) {
    private static final String NAME = "d";
    private static final String SEPARATOR_AND_NAME = ",d=";

    /** Finds the deadline in attributes that name it at most once; see {@link #withoutRepeats}. */
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
     * The attributes without all deadlines but the first. Each reader chooses for itself which of several it takes, so
     * a second one could give a server the client's original figure.
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

    /** The attributes before the figure. */
    String before(String attributes) {
        return attributes.substring(0, valueStart) + prefix;
    }

    /** The attributes behind the figure. */
    String after(String attributes) {
        return attributes.substring(valueEnd);
    }
}
