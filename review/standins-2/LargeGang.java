/** A gang of 500 tasks, for which there is room. Without the disruption it has 300. */
final class LargeGang {
    private static final int MACHINES = 14;

    public static void main(String[] args) {
        World.play(args[0], world -> {
            world.teams.add(World.team("adjuster-desk-00", 2500, 7000));
            world.cloud.addType("reader-rig", 96, 0, 768, 27.65, 30, "kality");
            world.startControllers();
            world.cloud.addRunning("reader-rig", "kality", MACHINES);
            World.Job reader = world.job("j-000001", "adjuster-desk-00", "daemon", "production", MACHINES, 78, 0);
            world.submit(reader);
            while (world.starts(reader.ref) < MACHINES) World.sleep(0.1);
            int laps = world.hasTrouble ? 500 : 300;
            World.Job gang = world.job("j-000002", "adjuster-desk-00", "gang", "standard", laps, 0.5, 5);
            world.submit(gang);
            if (world.hasTrouble && world.waitsBesideRoom(gang, 90)) {
                int room = 0;
                for (Worker worker : world.workers) if (worker.isAlive()) room += (int) (worker.freeCores() / 0.5);
                world.say("for 90 s no task of j-000002 was started; the machines have room for " + room + " tasks, it has " + laps);
                return false;
            }
            while (!world.status(gang.ref).equals("done")) World.sleep(1);
            return true;
        });
    }
}
