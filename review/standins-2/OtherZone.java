/** A gang that has to be in one zone. One zone has room for half of it and no more machines, another one has machines. */
final class OtherZone {
    public static void main(String[] args) {
        World.play(args[0], world -> {
            world.teams.add(World.team("adjuster-desk-00", 312, 872));
            world.cloud.addType("ledger-box", 32, 0, 64, 2.01, 15, "kality", "bole");
            world.cloud.setCapacity("ledger-box", "kality", world.hasTrouble ? 0 : 3);
            world.cloud.setCapacity("ledger-box", "bole", 3);
            world.startControllers();
            world.cloud.addRunning("ledger-box", "kality", 2);
            World.sleep(4);
            World.Job gateway = world.job("j-000001", "adjuster-desk-00", "daemon", "production", 2, 26, 0);
            world.submit(gateway);
            while (world.starts(gateway.ref) < 2) World.sleep(0.1);
            World.sleep(2);
            World.Job gang = world.job("j-000002", "adjuster-desk-00", "gang", "standard", 12, 2, 5, "together", true);
            world.submit(gang);
            double until = world.record.seconds() + 95;
            while (world.record.seconds() < until) {
                if (world.status(gang.ref).equals("done")) return true;
                World.sleep(2);
            }
            world.say("95 s after its acceptance, tasks of j-000002 that have run: " + world.gangRuns(gang.ref) + "; rental requests for kality: "
                + world.cloud.askedFor("ledger-box/kality") + ", for bole, which has three machines: " + world.cloud.askedFor("ledger-box/bole"));
            return world.gangRuns(gang.ref) > 0;
        });
    }
}
