package cacheproxy.simulator;

/** Input that is not the wire's; the message names what and where. */
public final class SimulatorProtocolException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    SimulatorProtocolException(String message) {
        super(message);
    }
}
