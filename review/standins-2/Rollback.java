import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Teams are stored in the state service and changed 500 times. Around the 500th change a share of the transactions gets no
 * answer for a while. Afterwards the operator goes back to versions of that time, and looks at the teams.
 */
final class Rollback {
    private static final int TEAMS = 480;
    private static final int APPLIED = 0;
    private static final int UNAVAILABLE = 4;
    private static final int UNKNOWN = 5;

    private final World world;
    private final AtomicLong newest = new AtomicLong(1);

    /** What each version changed, as it was confirmed: the number of the team, and its new limit. */
    private final TreeMap<Long, int[]> changes = new TreeMap<>();

    private Rollback(World world) {
        this.world = world;
    }

    private static String name(int team) {
        return String.format("partner-desk-%03d", team);
    }

    private static int firstLimit() {
        return 800;
    }

    /** Applies a change of one team's limit; repeats it under the same id while its outcome is not known. */
    private void apply(int number) throws Exception {
        int team = number % TEAMS;
        int limit = firstLimit() + number + 1;
        byte[] setting = new Proto().text(1, name(team)).number(2, 10).number(3, limit).encoded();
        long until = System.nanoTime() + 60_000_000_000L;
        while (System.nanoTime() < until) {
            byte[] change = new Proto().text(1, "change-" + number).integer(2, newest.get()).text(3, "ops").text(4, "limit").bytes(5, setting).encoded();
            Http.Answer answer = Http.call(world.controllers.get(0).back, "POST", "/config/apply", change, 30_000);
            Map<Integer, Long> fields = answer == null || answer.status != 200 ? Map.of(1, (long) UNKNOWN) : Proto.integers(answer.body);
            int status = fields.getOrDefault(1, 0L).intValue();
            if (status == APPLIED) {
                long version = fields.get(2);
                newest.accumulateAndGet(version, Math::max);
                synchronized (changes) {
                    changes.put(version, new int[] {team, limit});
                }
                world.record.line("version " + version + ": " + name(team) + " cpus_max=" + limit);
                return;
            }
            world.record.line("change-" + number + " is answered " + status + ", repeated under its id");
            if (status != UNKNOWN && status != UNAVAILABLE && status != 6) throw new World.CouldNotRun("change " + number + " is answered " + status);
            World.sleep(0.5);
        }
        throw new World.CouldNotRun("change " + number + " is not applied in 60 s");
    }

    /** The limits of all teams at a version, as it was confirmed. */
    private int[] limitsAt(long version) {
        int[] limits = new int[TEAMS];
        java.util.Arrays.fill(limits, firstLimit());
        for (int[] change : changes.headMap(version, true).values()) limits[change[0]] = change[1];
        return limits;
    }

    private List<String> command(String... words) throws Exception {
        List<String> line = new ArrayList<>(List.of("java", "-jar", "target/micatally.jar", "config"));
        line.addAll(List.of(words));
        line.addAll(List.of("--controller", world.controllers.get(0).back));
        Process process = new ProcessBuilder(line).redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes());
        int code = process.waitFor();
        world.record.line("config " + String.join(" ", words) + ": exit code " + code + (output.length() < 300 ? ", " + output.trim() : ""));
        return List.of(output.split("\n"));
    }

    private boolean play() throws Exception {
        world.deploy = "deploy/stored-teams.toml";
        for (int i = 0; i < TEAMS; i++) world.teams.add(World.team(name(i), 10, firstLimit()));
        world.cloud.addType("ledger-box", 32, 0, 64, 2.01, 15, "kality");
        world.startControllers();
        apply(0);
        AtomicInteger next = new AtomicInteger(1);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < 24; i++) {
            Thread thread = new Thread(() -> {
                try {
                    for (int number = next.getAndIncrement(); number < 490; number = next.getAndIncrement()) apply(number);
                } catch (Exception e) {
                    world.record.line("change failed: " + e);
                }
            });
            thread.start();
            threads.add(thread);
        }
        for (Thread thread : threads) thread.join();
        world.say("version " + newest.get() + " is reached");
        long from = newest.get();
        if (world.hasTrouble) {
            world.say("for 20 s, half of the transactions get no answer and are carried out 2 to 12 s later");
            world.state.lateShare = 0.5;
        }
        double until = world.record.seconds() + 20;
        int number = 490;
        while (world.record.seconds() < until || newest.get() < 505) {
            apply(number++);
            World.sleep(0.5);
            if (world.record.seconds() >= until) world.state.lateShare = 0;
        }
        world.state.lateShare = 0;
        if (world.hasTrouble) World.sleep(13);
        for (int i = 0; i < 3; i++) apply(number++);
        world.record.line("stored: " + world.state.keysUnder("config/snapshot/"));
        // The last team's job has 60 tasks to do on the one machine when the operator goes back.
        World.Job sweep = world.job("j-000002", name(TEAMS - 1), "sweep", "standard", 60, 16, 2);
        world.cloud.addRunning("ledger-box", "kality", 1);
        world.submit(sweep);
        while (world.starts(sweep.ref) < 2) World.sleep(0.1);
        long last = newest.get();
        TreeMap<Long, int[]> known = new TreeMap<>(changes);
        boolean isHeld = true;
        for (long version : known.tailMap(Math.max(from, 498L), false).headMap(last, false).keySet()) {
            if (world.record.seconds() > 85) break;
            List<String> answer = command("rollback", Long.toString(version), "--author", "ops", "--reason", "back");
            if (!answer.get(0).startsWith("applied") && !answer.get(0).contains("nothing to change")) {
                world.say("the rollback to version " + version + " is refused: " + answer.get(0));
                continue;
            }
            int[] limits = limitsAt(version);
            List<String> teams = command("get");
            int missing = 0;
            int wrong = 0;
            for (int team = 0; team < TEAMS; team++) {
                String line = null;
                for (String each : teams) if (each.startsWith(name(team) + " ")) line = each;
                if (line == null) missing++;
                else if (!line.contains("cpus_max=" + (double) limits[team])) wrong++;
            }
            world.record.line("after the rollback to version " + version + ": " + missing + " teams are missing, " + wrong + " have another limit");
            if (missing + wrong == 0) continue;
            isHeld = false;
            world.say("the rollback to version " + version + " has removed " + missing + " of " + TEAMS + " teams that this version had, " + wrong + " have a wrong limit");
            World.Job job = world.job("j-000001", name(TEAMS - 1), "sweep", "standard", 1, 1, 1);
            Http.Answer submission = world.user("POST", "/work", job.body);
            world.say("a submission of " + name(TEAMS - 1) + " is answered " + submission.status + " " + submission.text());
            World.sleep(3);
            int starts = world.starts(sweep.ref);
            double wait = Math.max(0, Math.min(30, 112 - world.record.seconds()));
            World.sleep(wait);
            world.say(String.format("its accepted job: %d of 60 tasks done, %d started within the next %.0f s", world.doneTasks(sweep.ref), world.starts(sweep.ref) - starts, wait));
            break;
        }
        return isHeld;
    }

    public static void main(String[] args) {
        World.play(args[0], world -> new Rollback(world).play());
    }
}
