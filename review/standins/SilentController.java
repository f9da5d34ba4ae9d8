import java.nio.file.Path;
import java.util.Map;

/** A controller loses the network for a minute and comes back. */
final class SilentController {
    public static void main(String[] args) {
        World.run(() -> play(args));
    }

    private static void play(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World w = new World(Path.of(args[0]), Path.of(args[1]));
        w.prepare(Json.of("name", "lobby-crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 184.0, "gpus_max", 600.0));
        for (String h : w.hosts) w.startController(h);
        if (!w.awaitHealthy(30_000)) {
            w.record("the controllers don't become healthy");
            System.exit(2);
        }
        String a = w.hosts.get(0);
        Map<String, Object> service = World.job("j-000001", "lobby-crew", "daemon", "production", 2, 40.0, 4.0, 200.0, 0.0);
        Map<String, Object> sweep = World.job("j-000002", "lobby-crew", "sweep", "low", 4, 40.0, 4.0, 200.0, 600.0);
        if (!w.submit(service, a) || !w.submit(sweep, a)) System.exit(2);
        long until = World.now() + 20_000;
        while (World.now() < until && running(w) < 6) Thread.sleep(100);
        if (running(w) < 6) {
            w.record("the tasks don't run");
            System.exit(2);
        }
        Thread.sleep(3000);
        if (trouble) {
            w.record("TROUBLE: " + a + " loses the network");
            w.cut.add(a);
        }
        Thread.sleep(60_000);
        if (trouble) {
            w.cut.remove(a);
            w.record("TROUBLE: " + a + " has the network again");
        }
        Thread.sleep(20_000);
        int broken = 0;
        synchronized (w.deletions) {
            for (World.Deletion d : w.deletions) {
                // In use: it runs tasks, its reports were answered until just before, and never was its lease in danger.
                // No machine gets a spot notice here.
                if (d.tasks == 0 || d.answeredAgoMs > 3000 || d.silenceMs > w.leaseS * 1000) continue;
                broken++;
                w.record("BROKEN: " + d.car + " was deleted with " + d.tasks + " running tasks; a report was answered " + d.answeredAgoMs
                    + " ms before, and its longest time without an answer was " + d.silenceMs + " ms");
            }
        }
        w.record(broken + " machines in use were deleted");
        System.exit(broken > 0 ? 1 : 0);
    }

    private static int running(World w) {
        int n = 0;
        for (World.Car c : w.cloud.up()) n += c.worker.running();
        return n;
    }
}
