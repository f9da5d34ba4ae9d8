import java.nio.file.Path;
import java.util.Map;

/** A valid job comes with an unknown field, whose value is a deeply nested list. */
final class NestedField {
    /** The levels of the list. The whole body has about 2 KB. */
    private static final int DEPTH = 1000;

    /** For this long no question about the job may stay unanswered. */
    private static final long FORGOTTEN_MS = 75_000;

    public static void main(String[] args) {
        World.run(() -> play(args));
    }

    private static void play(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        World w = new World(Path.of(args[0]), Path.of(args[1]));
        w.prepare(Json.of("name", "lobby-crew", "cpus", 0.0, "cpus_max", 0.0, "gpus", 184.0, "gpus_max", 600.0));
        for (String h : w.hosts) w.startController(h);
        if (!w.awaitHealthy(20_000)) {
            w.record("the controllers don't become healthy");
            System.exit(2);
        }
        Map<String, Object> service = World.job("j-000001", "lobby-crew", "daemon", "production", 2, 16.0, 2.0, 80.0, 0.0);
        if (!w.submit(service, w.hosts.get(0))) System.exit(2);
        Thread.sleep(5000);

        Map<String, Object> job = World.job("j-000002", "lobby-crew", "sweep", "low", 1, 8.0, 1.0, 40.0, 5.0);
        w.jobs.put("j-000002", job);
        String value = trouble ? "[".repeat(DEPTH) + "]".repeat(DEPTH) : "[]";
        String text = Json.text(job);
        String body = text.substring(0, text.length() - 1) + ",\"notes\":" + value + "}";
        if (trouble) w.record("TROUBLE: a job with an unknown field is submitted");
        // No answer and connection failures are retried after 1 s, at another node; the user gives up after 10 s.
        long until = World.now() + 10_000;
        for (int i = 0; World.now() < until; i++) {
            Http.Response r = w.user(w.hosts.get(i % w.hosts.size()), "POST", "/work", body, 5000);
            if (r != null && r.status < 429) break;
            Thread.sleep(1000);
        }

        // The user of the first job asks about it every 5 s, at one node after the other if there is no answer.
        long from = World.now();
        long lastAnswer = from;
        long longest = 0;
        while (World.now() - from < FORGOTTEN_MS + 5000) {
            for (String h : w.hosts) {
                Http.Response r = w.user(h, "GET", "/work/j-000001", null, 2000);
                if (r == null || r.status != 200) continue;
                longest = Math.max(longest, World.now() - lastAnswer);
                lastAnswer = World.now();
                break;
            }
            Thread.sleep(5000);
        }
        longest = Math.max(longest, World.now() - lastAnswer);
        for (String h : w.hosts) {
            w.user(h, "GET", "/healthz", null, 1000);
            w.record("the process of " + h + (w.processes.get(h).isAlive() ? " runs" : " has ended"));
        }
        boolean broken = longest > FORGOTTEN_MS;
        w.record((broken ? "BROKEN forgotten: " : "") + "the longest time without an answer about j-000001 was " + longest + " ms");
        System.exit(broken ? 1 : 0);
    }
}
