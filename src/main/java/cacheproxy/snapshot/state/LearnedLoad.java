package cacheproxy.snapshot.state;

/**
 * Decaying counts of recent attempts; fewer answers than attempts mean overload.
 *
 * @param sent attempts sent
 * @param answered attempts answered in time
 */
public record LearnedLoad(double sent, double answered) {}
