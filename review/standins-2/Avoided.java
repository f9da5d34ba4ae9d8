/** An array has done some of its tasks, then the machine with room for it fails what it starts for a few seconds. */
final class Avoided {
    public static void main(String[] args) {
        World.play(args[0], world -> {
            world.teams.add(World.team("adjuster-desk-00", 312, 872));
            world.cloud.addType("ledger-box", 32, 0, 64, 2.01, 15, "kality");
            world.startControllers();
            world.cloud.addRunning("ledger-box", "kality", 2);
            World.Job gateway = world.job("j-000001", "adjuster-desk-00", "daemon", "production", 2, 17, 0);
            world.submit(gateway);
            while (world.starts(gateway.ref) < 2) World.sleep(0.1);
            World.Job surge = world.job("j-000002", "adjuster-desk-00", "daemon", "high", 1, 15, 0);
            world.submit(surge);
            while (world.starts(surge.ref) < 1) World.sleep(0.1);
            // One machine is full now, the other one has 15 cores left.
            World.Job coder = world.job("j-000003", "adjuster-desk-00", "sweep", "standard", 4, 10, 3);
            world.submit(coder);
            while (world.doneTasks(coder.ref) < 1) World.sleep(0.05);
            if (world.hasTrouble) {
                for (Worker worker : world.workers) {
                    if (worker.tasksOf(surge.ref) > 0) continue;
                    world.say(worker.name + " fails every task that it starts");
                    worker.isSick = true;
                }
                World.sleep(8);
                for (Worker worker : world.workers) worker.isSick = false;
                world.say("the machine is sound again; done: " + world.doneTasks(coder.ref) + " of 4");
                if (world.waitsBesideRoom(coder, 90)) {
                    for (String line : world.logLines("fails")) world.record.line(line);
                    world.say("for 90 s no task of j-000003 was started; done: " + world.doneTasks(coder.ref) + " of 4");
                    return false;
                }
            }
            while (!world.status(coder.ref).equals("done")) World.sleep(1);
            return true;
        });
    }
}
