package cacheproxy.snapshot.state;

import java.util.List;

/**
 * What a decision module has learned of its servers and keys and what helps one that starts anew. Plain values, no
 * readings of a clock: spans in milliseconds, counted from the moment of telling. Requests, tokens and trials are not
 * in it: they end with the instance.
 *
 * @param servers those that something is to be said of; a server that is not here is sound
 * @param fetches what the origin was lately asked for and answered in time
 * @param crowd the same for attempts at cache servers
 */
public record LearnedState(List<Server> servers, Pace pace, Load fetches, Load crowd, HotKeys hot) {
    /** Nothing is known. */
    public static final LearnedState NONE = new LearnedState(
            List.of(), new Pace(0, 0, 0, 0, 0), new Load(0, 0), new Load(0, 0), new HotKeys(0, List.of()));

    /**
     * A server that fails or is doubted.
     *
     * @param bornMs the start of the process that this is about, as the list tells it
     * @param failures in a row, each after a doubt or a time-out
     * @param shunnedForMs how long it is still left out
     * @param doubts answers that were overdue in a row
     */
    public record Server(int id, double bornMs, int failures, double shunnedForMs, int doubts) {}

    /**
     * What answers usually take.
     *
     * @param fetchMs a fetch at the origin
     * @param usualCost the usual hint at a request's work; 0: none has come
     * @param usualMs an answer of a cache server
     * @param deviationMs from that
     * @param weight how far this is to be trusted, 0 to 1; 1 as the module tells it
     */
    public record Pace(double fetchMs, double usualCost, double usualMs, double deviationMs, double weight) {}

    /** Counts that fade; where less was answered than asked there is pressure. */
    public record Load(double asked, double answered) {}

    /** Keys asked for so often that one server is too few for them, and what was asked for in all, in the same span. */
    public record HotKeys(double total, List<HotKey> keys) {}

    /** A key by its number, and how often it was lately asked for. */
    public record HotKey(long key, int count) {}
}
