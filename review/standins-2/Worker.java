import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A stand-in of a worker: reports, lease, tokens, commands and tasks as the page of the protocols describes them. */
final class Worker {
    /** A task in the worker's list. */
    static final class Task {
        String ref;
        int index;
        long start;
        String status = "pulling";
        String reason;
        World.Job job;

        String lap() {
            return ref + "/" + index;
        }

        boolean isOnMachine() {
            return !status.equals("pulling") && !status.equals("ended");
        }
    }

    private final World world;
    final String name;
    final Cloud.Type type;
    final String circuit;
    private final boolean loaners;
    final String addr;
    private final HttpServer server;
    private final Random random;
    private final LinkedHashMap<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long stint = 1;
    private long tick = 0;
    private long baton = 0;
    private long renewedAt = now();
    private boolean isChanged = false;
    private volatile boolean isAlive = true;

    /** While set, every task that is started fails. */
    volatile boolean isSick = false;

    Worker(World world, String name, Cloud.Type type, String circuit, boolean loaners) throws Exception {
        this.world = world;
        this.name = name;
        this.type = type;
        this.circuit = circuit;
        this.loaners = loaners;
        random = new Random(name.hashCode());
        server = Http.serve(this::handle);
        addr = "127.0.0.1:" + server.getAddress().getPort();
        world.workers.add(this);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void start() {
        Http.run(this::reportLoop);
        Http.run(this::leaseLoop);
    }

    void die() {
        isAlive = false;
        server.stop(0);
        synchronized (this) {
            for (Task task : tasks.values()) leave(task);
            tasks.clear();
        }
    }

    boolean isAlive() {
        return isAlive;
    }

    private void leave(Task task) {
        if (task.isOnMachine()) world.left(this, task, task.reason);
    }

    private void leaseLoop() {
        try {
            while (isAlive) {
                Thread.sleep(50);
                synchronized (this) {
                    if (now() - renewedAt <= World.LEASE_MS) continue;
                    world.record.line(name + ": the lease expires, " + tasks.size() + " tasks are gone");
                    for (Task task : tasks.values()) leave(task);
                    tasks.clear();
                    stint++;
                    renewedAt = now();
                    isChanged = true;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void reportLoop() {
        int node = random.nextInt(world.controllers.size());
        try {
            Thread.sleep(random.nextInt(500));
            while (isAlive) {
                long sentAt = now();
                long sentStint;
                Map<String, Object> report;
                synchronized (this) {
                    sentStint = stint;
                    report = report();
                    isChanged = false;
                }
                Http.Answer answer = Http.call(world.controllers.get(node).listen, "POST", "/v1/report", report, 4000);
                if (answer != null && answer.status == 200) {
                    accept(answer.json(), sentAt, sentStint);
                    long next = sentAt + World.REPORT_MS * 3 / 4 + random.nextInt((int) World.REPORT_MS / 2);
                    Thread.sleep(500);
                    while (now() < next && !isChanged) Thread.sleep(20);
                    continue;
                }
                Object marshal = answer != null && answer.status == 421 ? answer.json().get("marshal") : null;
                int named = marshal == null ? -1 : world.controllerOf((String) marshal);
                if (named >= 0 && named != node) {
                    node = named;
                    Thread.sleep(random.nextInt(500));
                } else {
                    node = (node + 1) % world.controllers.size();
                    Thread.sleep(1000);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized Map<String, Object> report() {
        List<Object> laps = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> lap = Json.map("lap", task.lap(), "start", task.start, "status", task.status);
            if (task.reason != null) lap.put("retire_reason", task.reason);
            laps.add(lap);
        }
        return Json.map("car", name, "addr", addr, "rig", type.label, "circuit", circuit, "loaners", loaners,
            "stint", stint, "tick", ++tick, "baton", baton, "recall_s", null, "laps", laps);
    }

    private synchronized void accept(Map<String, Object> answer, long sentAt, long sentStint) {
        Object token = answer.get("baton");
        if (!isAlive || sentStint != stint || token == null || ((Number) token).longValue() < baton) return;
        if (((Number) token).longValue() > baton) isChanged = true;
        baton = ((Number) token).longValue();
        renewedAt = Math.max(renewedAt, sentAt);
        execute((List<?>) answer.get("radio"));
    }

    private synchronized Http.Answer handle(Http.Request request) {
        if (!isAlive) return null;
        if (request.path.equals("/show")) return new Http.Answer(200, report());
        if (!request.path.equals("/orders")) return new Http.Answer(400, Json.map("error", "malformed"));
        Map<String, Object> body = Json.object(request.body);
        if (body.get("baton") == null || body.get("stint") == null) return new Http.Answer(400, Json.map("error", "malformed"));
        long token = ((Number) body.get("baton")).longValue();
        if (token < baton || ((Number) body.get("stint")).longValue() != stint) return new Http.Answer(409, report());
        if (token > baton) isChanged = true;
        baton = token;
        execute((List<?>) body.get("radio"));
        return new Http.Answer(200, report());
    }

    private void execute(List<?> radio) {
        if (radio == null) return;
        for (Object item : radio) {
            Map<?, ?> command = (Map<?, ?>) item;
            String lap = (String) command.get("lap");
            long start = ((Number) command.get("start")).longValue();
            String id = lap + "#" + start;
            Task task = tasks.get(id);
            switch ((String) command.get("call")) {
                case "run":
                    if (task == null) run(id, lap, start);
                    break;
                case "kill":
                    if (task != null && !task.status.equals("ended")) end(task, "stopped");
                    break;
                default:
                    if (task != null && task.status.equals("ended")) tasks.remove(id);
            }
        }
    }

    private void run(String id, String lap, long start) {
        Task task = new Task();
        task.ref = lap.substring(0, lap.indexOf('/'));
        task.index = Integer.parseInt(lap.substring(lap.indexOf('/') + 1));
        task.start = start;
        task.job = world.jobs.get(task.ref);
        String refusal = refusal(task);
        tasks.put(id, task);
        isChanged = true;
        if (refusal != null) {
            task.status = "ended";
            task.reason = refusal;
            world.record.line(name + ": " + id + " refused: " + refusal);
            return;
        }
        Http.run(() -> execute(task));
    }

    private String refusal(Task task) {
        if (task.job == null || task.index >= task.job.laps) return "unknown";
        double cores = task.job.cores;
        double ram = task.job.ramGb;
        for (Task other : tasks.values()) {
            if (other.status.equals("ended")) continue;
            if (other.lap().equals(task.lap())) return "in_use";
            cores += other.job.cores;
            ram += other.job.ramGb;
        }
        return cores > type.cores + 1e-6 || ram > type.ramGb + 1e-6 ? "full" : null;
    }

    private void execute(Task task) {
        try {
            boolean isCached;
            synchronized (this) {
                isCached = images.contains(task.job.livery);
            }
            if (!isCached) Thread.sleep((long) (task.job.sizeGb / type.pullGbPerS * 1000));
            boolean fails;
            synchronized (this) {
                if (!task.status.equals("pulling") || !isListed(task)) return;
                images.add(task.job.livery);
                task.status = task.job.isGang() ? "waiting" : "running";
                isChanged = true;
                fails = isSick;
                world.started(this, task, fails);
            }
            if (fails) {
                Thread.sleep(500);
                endIfUp(task, "error");
                return;
            }
            if (task.job.isGang() && !world.awaitGang(this, task)) return;
            if (world.isDone(task)) {
                endIfUp(task, "done");
                return;
            }
            if (task.job.runS <= 0) return;
            Thread.sleep((long) (task.job.runS * 1000));
            endIfUp(task, "done");
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The gang of the task is whole, so the task runs. Returns false if the task has ended meanwhile. */
    synchronized boolean gangRuns(Task task) {
        if (!task.status.equals("waiting") || !isListed(task)) return false;
        task.status = "running";
        isChanged = true;
        return true;
    }

    private boolean isListed(Task task) {
        return isAlive && tasks.get(task.lap() + "#" + task.start) == task;
    }

    synchronized void endIfUp(Task task, String reason) {
        if (isListed(task) && !task.status.equals("ended")) end(task, reason);
    }

    private void end(Task task, String reason) {
        boolean wasOn = task.isOnMachine();
        task.reason = reason;
        if (wasOn) world.left(this, task, reason);
        task.status = "ended";
        isChanged = true;
    }

    /** The cores that no task holds. */
    synchronized double freeCores() {
        double free = type.cores;
        for (Task task : tasks.values()) if (!task.status.equals("ended")) free -= task.job.cores;
        return free;
    }

    /** The tasks of a job that hold room here. */
    synchronized int tasksOf(String ref) {
        int count = 0;
        for (Task task : tasks.values()) if (task.ref.equals(ref) && !task.status.equals("ended")) count++;
        return count;
    }
}
