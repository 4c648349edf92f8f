package cacheproxy.policy;

/**
 * An attempt's part of the budget of a server in its slow start, from the attempt's admission to its end.
 *
 * @param server the server
 * @param window the attempts since the start for which the part was admitted
 * @param cost the part, in requests of average work
 * @param allowedCost what all attempts that count together could cost when it was admitted
 */
record SlowStartReservation(ServerState server, SlowStartWindow window, double cost, double allowedCost) {
    /** Whether the server has not restarted since the admission. */
    boolean isForPresentStart() {
        return window == server.slowStartWindow();
    }
}
