package damsonworks.proxy;

/** All requests go to one pool, as on the platform. */
final class SinglePool implements RequestHandler {
    private final Core core;
    private final Intake intake;
    private final Dispatcher pool;

    SinglePool(Core core, Dispatcher pool) {
        this.core = core;
        this.pool = pool;
        intake = new Intake(core, pool.settings().classes(), pool.settings().tenants());
    }

    @Override
    public Handle take(Command command, Responder responder) {
        String fault = intake.resolve(command);
        if (fault != null) {
            command.release(core);
            responder.rejected(fault);
            return null;
        }
        if (intake.expired(command)) {
            core.closeId(command);
            command.release(core);
            responder.refused(0);
            return null;
        }
        Exchange x = new Exchange(pool, command, Intake.keyNumber(command.key), responder, true);
        x.dueMs = command.dueMs;
        pool.take(x);
        return x;
    }
}
