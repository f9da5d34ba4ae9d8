import java.nio.file.Path;
import java.util.Map;

/** A controller ends and comes back; then it accepts a job that fits on a machine on which a replica runs. */
final class RestartedController {
    /** For this long no job may wait while a machine that fits has room. */
    private static final long WAITING_MS = 90_000;

    public static void main(String[] args) {
        World.run(() -> play(args));
    }

    private static void play(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World w = new World(Path.of(args[0]), Path.of(args[1]));
        w.capacity = 1;
        w.prepare(Json.of("name", "lobby-crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 184.0, "gpus_max", 600.0));
        for (String h : w.hosts) w.startController(h);
        if (!w.awaitHealthy(20_000)) {
            w.record("the controllers don't become healthy");
            System.exit(2);
        }
        Map<String, Object> service = World.job("j-000001", "lobby-crew", "daemon", "production", 1, 16.0, 2.0, 80.0, 0.0);
        if (!w.submit(service, w.hosts.get(2))) System.exit(2);
        long until = World.now() + 10_000;
        while (World.now() < until && carOf(w) == null) Thread.sleep(100);
        if (carOf(w) == null) {
            w.record("the service does not run");
            System.exit(2);
        }
        Thread.sleep(2000);

        String host = w.hosts.get(0);
        if (trouble) {
            w.record("TROUBLE: " + host + " ends");
            w.kill(host);
            Thread.sleep(4000);
            w.startController(host);
            if (!w.awaitHealthy(8000)) {
                w.record("the controller does not become healthy again");
                System.exit(2);
            }
            w.record("TROUBLE OVER");
        }
        Thread.sleep(1000);

        Map<String, Object> sweep = World.job("j-000002", "lobby-crew", "sweep", "low", 1, 16.0, 2.0, 80.0, 5.0);
        if (!w.submit(sweep, host)) System.exit(2);
        long accepted = World.now();
        while (!w.doneTasks.contains("j-000002/0") && World.now() - accepted <= WAITING_MS) {
            w.user(host, "GET", "/work/j-000002", null, 2000);
            World.Car car = carOf(w);
            if (car == null) {
                // The machine has been returned or has lost its lease: it can't be blamed on the job's leader.
                w.record("the service does not run any more");
                System.exit(2);
            }
            w.record(car.name + ": " + car.worker.describe() + "; 6 of 8 cards are free");
            for (int i = 0; i < 50 && !w.doneTasks.contains("j-000002/0"); i++) Thread.sleep(100);
        }
        boolean broken = !w.doneTasks.contains("j-000002/0");
        w.record(broken ? "BROKEN: j-000002 has waited for " + (World.now() - accepted) + " ms beside a machine with room" : "j-000002 is done");
        System.exit(broken ? 1 : 0);
    }

    /** The machine on which the service's replica runs; null if it runs nowhere. */
    private static World.Car carOf(World w) {
        for (World.Car c : w.cloud.up()) if (c.worker.runs("j-000001/0")) return c;
        return null;
    }
}
