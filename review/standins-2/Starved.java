/** After a wave has taken a third of the cheap machines, a gang does not fit any more. A less urgent array fits, beside it. */
final class Starved {
    public static void main(String[] args) {
        World.play(args[0], world -> {
            world.teams.add(Json.map("name", "lobby-crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 184.0, "gpus_max", 600.0));
            world.cloud.addType("pit-rig", 32, 0, 64, 2.01, 15, "kality");
            world.startControllers();
            world.cloud.addRunning("pit-rig", "kality", 6, true);
            World.Job reader = world.job("j-000001", "lobby-crew", "daemon", "production", 6, 24, 0, "loaners", true);
            world.submit(reader);
            while (world.starts(reader.ref) < 6) World.sleep(0.1);
            if (world.hasTrouble) {
                for (int i = 0; i < 2; i++) world.cloud.take(world.workers.get(i));
                World.sleep(12);
            }
            World.Job gang = world.job("j-000002", "lobby-crew", "gang", "high", 12, 4, 5, "together", true, "loaners", true);
            world.submit(gang);
            World.sleep(1);
            World.Job coder = world.job("j-000003", "lobby-crew", "sweep", "low", 2, 4, 5, "loaners", true);
            world.submit(coder);
            if (world.hasTrouble) {
                if (world.waitsBesideRoom(coder, 90)) {
                    world.say("for 90 s no task of j-000003 was started; starts of the gang: " + world.starts(gang.ref));
                    return false;
                }
            }
            while (!world.status(coder.ref).equals("done")) World.sleep(1);
            if (!world.hasTrouble) while (!world.status(gang.ref).equals("done")) World.sleep(1);
            return true;
        });
    }
}
