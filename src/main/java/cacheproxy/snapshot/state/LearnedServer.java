package cacheproxy.snapshot.state;

/**
 * A server with failed or overdue attempts.
 *
 * @param id the server's id
 * @param startMs start time of the server process that this entry describes, as given by the endpoint list
 * @param failures consecutive failed or timed-out attempts
 * @param ejectedForMs how much longer the server is ejected
 * @param overdueAttempts consecutive attempts that exceeded their hedging delay
 */
public record LearnedServer(int id, double startMs, int failures, double ejectedForMs, int overdueAttempts) {}
