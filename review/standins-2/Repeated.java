/** Long after a job was cancelled, a controller is restarted, and a repeat of an old request to a worker follows. */
final class Repeated {
    private static final double CANCEL_S = 40;

    public static void main(String[] args) {
        World.play(args[0], world -> {
            world.teams.add(World.team("adjuster-desk-00", 312, 872));
            world.cloud.addType("ledger-box", 32, 0, 64, 2.01, 15, "kality");
            world.startControllers();
            world.cloud.addRunning("ledger-box", "kality", 2);
            World.Job gateway = world.job("j-000001", "adjuster-desk-00", "daemon", "production", 2, 17, 0);
            world.submit(gateway);
            World.Job surge = world.job("j-000002", "adjuster-desk-00", "daemon", "high", 1, 4, 0);
            world.submit(surge);
            while (world.starts(gateway.ref) < 2 || world.starts(surge.ref) < 1) World.sleep(0.1);
            World.sleep(1);
            Http.Answer answer = world.user("POST", "/work/" + surge.ref + "/cancel", Json.map());
            if (answer == null || answer.status != 200) throw new World.CouldNotRun("the cancellation is not confirmed");
            double toldAt = world.record.seconds();
            World.sleep(2 * CANCEL_S + 3);
            if (world.running(surge.ref) > 0) return false;
            if (world.hasTrouble) {
                int leader = world.controllerOf(world.acceptedBy(surge.ref));
                world.restart(world.controllers.get(leader), 0.3, () -> {
                    for (Worker worker : world.workers) worker.repeatStartOf(surge.ref);
                });
            }
            boolean isHeld = true;
            double until = world.record.seconds() + 20;
            double lastAt = 0;
            while (world.record.seconds() < until) {
                if (world.running(surge.ref) > 0) {
                    if (isHeld) world.say(String.format("%.1f s after its user was told that it is cancelled, a task of j-000002 is on a machine", world.record.seconds() - toldAt));
                    isHeld = false;
                    lastAt = world.record.seconds();
                }
                World.sleep(0.1);
            }
            if (!isHeld) world.say(String.format("it was there for the last time %.1f s after that answer, %.1f s before the end", lastAt - toldAt, until - lastAt));
            world.status(surge.ref);
            return isHeld;
        });
    }
}
