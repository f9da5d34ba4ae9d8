import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** The worker of a machine, as the protocol describes it. */
final class Worker {
    private static final class Task {
        String lap;
        long start;
        String status;
        String reason;
        long since;
        long readyAt;
        Map<String, Object> job;
    }

    private final World world;
    private final World.Car car;
    private final Http.Server server;
    private final Random random;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = ConcurrentHashMap.newKeySet();
    private long stint = 1;
    private long tick;
    private long baton;
    private long leaseFrom = World.now();
    private boolean changed;
    /** When a higher token last counted as a change. */
    private long tokenChangeAt = Long.MIN_VALUE / 2;
    private volatile boolean stopped;
    /** When a report was last answered with 200 and taken. */
    volatile long lastAnswerAt = World.now();
    /** The longest time between two such answers. */
    volatile long longestSilenceMs;
    /** The controller that last took a report; empty: none since the last failure. */
    private String lastNode = "";

    Worker(World world, World.Car car) throws IOException {
        this.world = world;
        this.car = car;
        random = new Random(car.name.hashCode());
        server = new Http.Server(this::handle, world.owners, from -> from != null && world.lost(from, car.zone));
        World.thread("reports " + car.name, this::reports);
        World.thread("tasks " + car.name, this::run);
    }

    String addr() {
        return server.addr();
    }

    synchronized String describe() {
        StringBuilder b = new StringBuilder("last answered " + (World.now() - lastAnswerAt) + " ms ago, session " + stint + ", tasks");
        for (Task t : tasks.values()) b.append(' ').append(t.lap).append('#').append(t.start).append('=').append(t.status);
        return b.toString();
    }

    synchronized int running() {
        int n = 0;
        for (Task t : tasks.values()) if (t.status.equals("running")) n++;
        return n;
    }

    synchronized boolean runs(String lap) {
        for (Task t : tasks.values()) if (t.lap.equals(lap) && t.status.equals("running")) return true;
        return false;
    }

    synchronized void stop() {
        stopped = true;
        for (Task t : tasks.values()) {
            if (!t.status.equals("ended")) world.record("car " + car.name + " task " + t.lap + "#" + t.start + " is gone with its machine");
        }
        tasks.clear();
        server.close();
    }

    private synchronized void run() throws InterruptedException {
        while (!stopped) {
            long now = World.now();
            if (now - leaseFrom > world.leaseS * 1000) {
                for (Task t : tasks.values()) {
                    if (t.status.equals("ended")) continue;
                    world.record("car " + car.name + " task " + t.lap + "#" + t.start + " is killed: the lease has ended");
                }
                tasks.clear();
                stint++;
                leaseFrom = now;
                changed = true;
            }
            for (Task t : tasks.values()) {
                if (t.status.equals("pulling") && now >= t.readyAt) {
                    images.add((String) t.job.get("livery"));
                    t.status = "running";
                    t.since = now;
                    changed = true;
                    world.record("car " + car.name + " task " + t.lap + "#" + t.start + " runs");
                }
                if (!t.status.equals("running") || t.job.get("format").equals("daemon")) continue;
                if (world.doneTasks.contains(t.lap) || now - t.since >= Json.dbl(t.job.get("lap_time_s")) * 1000) {
                    world.doneTasks.add(t.lap);
                    t.status = "ended";
                    t.reason = "done";
                    changed = true;
                    world.record("car " + car.name + " task " + t.lap + "#" + t.start + " is done");
                }
            }
            wait(20);
        }
    }

    private synchronized Map<String, Object> report() {
        List<Object> laps = new ArrayList<>();
        for (Task t : tasks.values()) {
            Map<String, Object> m = Json.of("lap", t.lap, "start", t.start, "status", t.status);
            if (t.reason != null) m.put("retire_reason", t.reason);
            laps.add(m);
        }
        return Json.of("car", car.name, "addr", server.addr(), "rig", "pit-rig", "circuit", car.zone, "loaners", car.loaners,
            "stint", stint, "tick", ++tick, "baton", baton, "recall_s", null, "laps", laps);
    }

    private void reports() throws InterruptedException {
        int node = random.nextInt(world.hosts.size());
        Http.Client client = new Http.Client();
        Thread.sleep(random.nextInt(200));
        while (!stopped) {
            String host = world.hosts.get(node);
            long sentAt;
            long session;
            String body;
            synchronized (this) {
                changed = false;
                sentAt = World.now();
                session = stint;
                body = Json.text(report());
            }
            Http.Response r;
            if (world.lost(host, car.zone)) {
                // The packets to this node are lost: there is no answer within 4 s.
                r = null;
                long until = World.now() + 4000;
                while (World.now() < until && world.lost(host, car.zone) && !stopped) Thread.sleep(20);
                client.disconnect();
            } else {
                r = client.call(world.listen.get(host), "POST", "/v1/report", body, 4000);
                if (world.lost(host, car.zone)) r = null;
            }
            if (stopped) return;
            if (r != null && r.status == 200) {
                accept(Json.object(r.body), sentAt, session, host);
                long next = World.now() + (long) (world.reportS * 1000 * (0.75 + random.nextDouble() / 2));
                Thread.sleep(500);
                while (World.now() < next && !changed && !stopped) Thread.sleep(10);
                continue;
            }
            world.record("car " + car.name + " report to " + host + " => " + (r == null ? "no answer" : r.status + " " + r.body));
            lastNode = "";
            client.disconnect();
            Object named = r != null && r.status == 421 ? Json.object(r.body).get("marshal") : null;
            if (named != null && world.hosts.contains(named) && !named.equals(host)) {
                node = world.hosts.indexOf(named);
                Thread.sleep(random.nextInt(500));
            } else {
                node = (node + 1) % world.hosts.size();
                Thread.sleep(1000);
            }
        }
    }

    @SuppressWarnings("unchecked")
    private synchronized void accept(Map<String, Object> answer, long sentAt, long session, String host) {
        if (session != stint) return;
        long token = answer.get("baton") == null ? -1 : Json.num(answer.get("baton"));
        if (token < baton) return;
        if (!host.equals(lastNode)) {
            world.record("car " + car.name + " reports to " + host + " now");
            lastNode = host;
        }
        baton = token;
        leaseFrom = sentAt;
        longestSilenceMs = Math.max(longestSilenceMs, World.now() - lastAnswerAt);
        lastAnswerAt = World.now();
        execute((List<Map<String, Object>>) answer.get("radio"), "answer of " + host);
    }

    @SuppressWarnings("unchecked")
    private synchronized Http.Response handle(Http.Request r) {
        if (stopped) return null;
        if (r.path.equals("/show")) return new Http.Response(200, report());
        if (!r.path.equals("/orders")) return new Http.Response(404, "{}");
        Map<String, Object> q = Json.object(r.body);
        if (q.get("baton") == null || q.get("stint") == null) return new Http.Response(400, "{}");
        if (Json.num(q.get("baton")) < baton || Json.num(q.get("stint")) != stint) return new Http.Response(409, report());
        if (Json.num(q.get("baton")) > baton && World.now() - tokenChangeAt >= world.leaseS * 500) {
            changed = true;
            tokenChangeAt = World.now();
        }
        baton = Json.num(q.get("baton"));
        execute((List<Map<String, Object>>) q.get("radio"), "orders of " + r.from);
        return new Http.Response(200, report());
    }

    private void execute(List<Map<String, Object>> radio, String by) {
        if (radio == null) return;
        for (Map<String, Object> c : radio) {
            String lap = (String) c.get("lap");
            long start = Json.num(c.get("start"));
            String id = lap + "#" + start;
            Task t = tasks.get(id);
            world.record("car " + car.name + " " + by + ": " + c.get("call") + " " + id);
            if (c.get("call").equals("run") && t == null) {
                t = new Task();
                t.lap = lap;
                t.start = start;
                t.job = world.jobs.get(lap.substring(0, lap.lastIndexOf('/')));
                t.status = "pulling";
                double cores = 0;
                double cards = 0;
                double ram = 0;
                boolean inUse = false;
                for (Task o : tasks.values()) {
                    if (o.status.equals("ended")) continue;
                    if (o.lap.equals(lap)) inUse = true;
                    cores += Json.dbl(o.job.get("cores"));
                    cards += Json.dbl(o.job.get("cards"));
                    ram += Json.dbl(o.job.get("ram_gb"));
                }
                if (t.job == null) end(t, "unknown");
                else if (inUse) end(t, "in_use");
                else if (cores + Json.dbl(t.job.get("cores")) > world.cores + 1e-6 || cards + Json.dbl(t.job.get("cards")) > world.cards + 1e-6
                    || ram + Json.dbl(t.job.get("ram_gb")) > world.ramGb + 1e-6) end(t, "full");
                else t.readyAt = World.now() + (images.contains(t.job.get("livery")) ? 0 : (long) (Json.dbl(t.job.get("size_gb")) * 100));
                tasks.put(id, t);
                changed = true;
            } else if (c.get("call").equals("kill") && t != null && !t.status.equals("ended")) {
                end(t, "stopped");
                changed = true;
                world.record("car " + car.name + " task " + id + " is stopped");
            } else if (c.get("call").equals("clear") && t != null && t.status.equals("ended")) {
                tasks.remove(id);
                changed = true;
            }
        }
    }

    private void end(Task t, String reason) {
        t.status = "ended";
        t.reason = reason;
    }
}
