/** Tasks that fill a ledger-box. The cloud has none of these, and reader-rigs, which are large enough. */
final class OtherType {
    public static void main(String[] args) {
        World.play(args[0], world -> {
            world.teams.add(World.team("adjuster-desk-00", 312, 872));
            world.cloud.addType("ledger-box", 32, 0, 64, 2.01, 15, "kality", "bole");
            world.cloud.addType("reader-rig", 96, 8, 768, 27.65, 30, "adama", "kality", "bole");
            world.cloud.setCapacity("ledger-box", "kality", world.hasTrouble ? 0 : 2);
            for (String zone : new String[] {"adama", "kality", "bole"}) world.cloud.setCapacity("reader-rig", zone, 4);
            world.startControllers();
            World.Job job = world.job("j-000001", "adjuster-desk-00", "sweep", "standard", 2, 32, 3);
            world.submit(job);
            double until = world.record.seconds() + 105;
            while (world.record.seconds() < until) {
                if (world.status(job.ref).equals("done")) return true;
                World.sleep(2);
            }
            world.say("105 s after its acceptance, tasks of j-000001 started: " + world.starts(job.ref) + "; rental requests for ledger-boxes: "
                + world.cloud.askedFor("ledger-box") + ", for reader-rigs: " + world.cloud.askedFor("reader-rig"));
            return world.starts(job.ref) > 0;
        });
    }
}
