import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/** A small deployment on loopback: three controllers as processes, and stand-ins for all else. */
final class World {
    static final long REPORT_MS = 2000;
    static final long LEASE_MS = 10_000;
    static final long LIST_LAG_MS = 6000;
    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final String[] ZONES = {"adama", "kality", "bole"};

    /** The case could not run: what it needs did not come about. */
    static final class CouldNotRun extends Exception {
        CouldNotRun(String why) {
            super(why);
        }
    }

    /** A job as its user submits it. [runS] is the run time of a task, 0 for a service. */
    static final class Job {
        String ref;
        String format;
        int laps;
        double cores;
        double ramGb;
        String livery;
        double sizeGb;
        double runS;
        Map<String, Object> body;

        boolean isGang() {
            return format.equals("gang");
        }
    }

    /** A controller process. */
    static final class Controller {
        String host;
        String zone;
        String listen;
        String back;
        Path settings;
        Process process;
    }

    final Record record;
    final List<Controller> controllers = new ArrayList<>();
    final List<Worker> workers = new CopyOnWriteArrayList<>();
    final Map<String, Job> jobs = new ConcurrentHashMap<>();
    final boolean hasTrouble = !"0".equals(System.getenv("TROUBLE"));
    StateService state;
    Cloud cloud;
    String deploy = "deploy/service.toml";
    List<Object> teams = new ArrayList<>();
    private final Set<String> done = new HashSet<>();
    private final Map<String, List<Worker.Task>> gangs = new ConcurrentHashMap<>();
    private final Map<String, Integer> starts = new ConcurrentHashMap<>();
    private final Path folder;
    private final Map<String, Integer> gangRuns = new ConcurrentHashMap<>();
    private int nextNode = 0;

    World(Path caseFolder) throws Exception {
        record = new Record(caseFolder.resolve("record.txt"));
        folder = Files.createTempDirectory("micatally-review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        record.line(hasTrouble ? "with the disruption" : "without the disruption");
        state = new StateService(record);
        cloud = new Cloud(this);
    }

    /** A scenario: returns whether the rule held. */
    interface Scenario {
        boolean play(World world) throws Exception;
    }

    /** Plays a scenario in at most 118 s and ends this process with the exit code of the case. */
    static void play(String caseFolder, Scenario scenario) {
        Thread watchdog = new Thread(() -> {
            try {
                Thread.sleep(118_000);
            } catch (InterruptedException e) {
                return;
            }
            System.out.println("could not run: over 118 s");
            System.exit(COULD_NOT_RUN);
        });
        watchdog.setDaemon(true);
        watchdog.start();
        int code = COULD_NOT_RUN;
        try {
            World world = new World(Path.of(caseFolder));
            boolean isHeld = scenario.play(world);
            world.say(isHeld ? "the rule held" : "THE RULE IS BROKEN");
            code = isHeld ? HELD : BROKEN;
        } catch (Throwable e) {
            System.out.println("could not run: " + e);
            if (!(e instanceof CouldNotRun)) e.printStackTrace();
        }
        System.exit(code);
    }

    void say(String text) {
        System.out.println(text);
        record.line(text);
    }

    static void sleep(double seconds) throws InterruptedException {
        Thread.sleep((long) (seconds * 1000));
    }

    // Controllers.

    static Map<String, Object> team(String name, double cpus, double cpusMax) {
        return Json.map("name", name, "cpus", cpus, "cpus_max", cpusMax, "gpus", 0.0, "gpus_max", 0.0);
    }

    /** Starts the controllers and waits until all are healthy. */
    void startControllers() throws Exception {
        // A loopback network of its own for each run, so that runs at the same time don't take each other's ports.
        Random random = new Random();
        String network = "127." + (1 + random.nextInt(250)) + "." + (1 + random.nextInt(250)) + ".";
        for (int i = 0; i < 3; i++) {
            Controller controller = new Controller();
            controller.host = "pitbox-" + i;
            controller.zone = ZONES[i];
            controller.listen = network + (i + 1) + ":8080";
            controller.back = network + (i + 1) + ":8081";
            controllers.add(controller);
        }
        for (Controller controller : controllers) {
            controller.settings = folder.resolve(controller.host + ".json");
            Files.writeString(controller.settings, Json.write(settings(controller)));
            start(controller);
        }
        long until = System.nanoTime() + 40_000_000_000L;
        for (Controller controller : controllers) {
            while (!isHealthy(controller)) {
                if (!controller.process.isAlive() || System.nanoTime() > until) throw new CouldNotRun(controller.host + " is not healthy");
                sleep(0.1);
            }
        }
        record.line("all controllers are healthy");
    }

    boolean isHealthy(Controller controller) {
        Http.Answer answer = Http.call(controller.listen, "GET", "/healthz", (byte[]) null, 1000);
        return answer != null && answer.status == 200;
    }

    void start(Controller controller) throws Exception {
        String command = null;
        for (String line : Files.readAllLines(Path.of(deploy))) {
            if (line.startsWith("run = ")) command = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
        }
        if (command == null || !new File("target/micatally.jar").exists()) throw new CouldNotRun("the service is not built");
        List<String> words = new ArrayList<>(Arrays.asList(command.split(" ")));
        words.add(controller.settings.toString());
        ProcessBuilder builder = new ProcessBuilder(words);
        builder.environment().put("LOG_LEVEL", "info");
        builder.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        builder.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(controller.host + ".log").toFile()));
        controller.process = builder.start();
        record.line(controller.host + " started");
    }

    /** The lines of all controllers' logs that contain [text]. */
    List<String> logLines(String text) throws Exception {
        List<String> found = new ArrayList<>();
        for (Controller controller : controllers) {
            for (String line : Files.readAllLines(folder.resolve(controller.host + ".log"))) {
                if (line.contains(text)) found.add(controller.host + ": " + line);
            }
        }
        return found;
    }

    private Map<String, Object> settings(Controller own) {
        List<Object> seeds = new ArrayList<>();
        for (Controller other : controllers) {
            if (other != own) seeds.add(Json.map("host_name", other.host, "location", other.zone, "peer_addr", other.back));
        }
        return Json.map("host_name", own.host, "location", own.zone, "listen", own.listen, "back", own.back, "seeds", seeds,
            "services", Json.map("cloud", cloud.addr, "state", state.addr),
            "params", Json.map("initial_size", 3, "zones", List.of((Object[]) ZONES), "teams", teams, "objectives", List.of(),
                "workers", Json.map("report_s", REPORT_MS / 1000.0, "lease_s", LEASE_MS / 1000.0, "gang_wait_s", 35.0,
                    "gang_peer_s", 6.0, "cancel_s", 40.0),
                "state", Json.map("rps", 250.0, "write_rps", 100.0, "value_kb", 16.0, "txn_ops", 48),
                "cloud", Json.map("rps", 2.0, "list_lag_s", LIST_LAG_MS / 1000.0),
                "machine_limits", Json.map("core_share", 0.17, "memory_mb", 153.0, "max_sockets", 600),
                "time_bound_ms", 250.0));
    }

    int controllerOf(String host) {
        for (int i = 0; i < controllers.size(); i++) if (controllers.get(i).host.equals(host)) return i;
        return -1;
    }

    private void end() {
        for (Controller controller : controllers) if (controller.process != null) controller.process.destroyForcibly();
        try {
            for (Controller controller : controllers) if (controller.process != null) controller.process.waitFor(5, TimeUnit.SECONDS);
            String keep = System.getenv("KEEP_LOGS");
            if (keep != null) {
                System.out.println("logs in " + folder);
                return;
            }
            File[] files = folder.toFile().listFiles();
            if (files != null) for (File file : files) file.delete();
            folder.toFile().delete();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    // Users.

    Job job(String ref, String team, String format, String grid, int laps, double cores, double runS, Object... more) {
        Job job = new Job();
        job.ref = ref;
        job.format = format;
        job.laps = laps;
        job.cores = cores;
        job.ramGb = 0.5;
        job.livery = "img-" + format;
        job.sizeGb = 0.5;
        job.runS = runS;
        job.body = Json.map("ref", ref, "lane", "review", "crew", team, "format", format, "grid", grid, "laps", laps, "cores", cores,
            "cards", 0.0, "ram_gb", job.ramGb, "livery", job.livery, "size_gb", job.sizeGb, "chassis", null, "circuit", null,
            "together", false, "scatter", false, "loaners", false, "lap_time_s", runS, "sector_s", 0.0, "pit_stop_s", 0.0, "flag_s", null);
        job.body.putAll(Json.map(more));
        jobs.put(ref, job);
        return job;
    }

    /** Sends a user's request, as the load balancer leads it, until it is answered for good or 60 s are over. */
    Http.Answer user(String method, String path, Object body) throws Exception {
        long until = System.nanoTime() + 60_000_000_000L;
        while (true) {
            Controller controller = controllers.get(nextNode++ % controllers.size());
            Http.Answer answer = Http.call(controller.listen, method, path, body, method.equals("GET") ? 2000 : 5000);
            String text = answer == null ? "no response" : answer.status + " " + answer.text();
            record.line(method + " " + path + " at " + controller.host + ": " + text);
            boolean isFinal = answer != null && answer.status < 429 && answer.status != 421;
            if (isFinal || System.nanoTime() > until) return answer;
            sleep(answer != null && answer.retryAfterS != null ? Math.max(1, answer.retryAfterS) : 1);
        }
    }

    /** Submits a job; it has to be accepted. */
    void submit(Job job) throws Exception {
        Http.Answer answer = user("POST", "/work", job.body);
        if (answer == null || answer.status != 201 && answer.status != 200) throw new CouldNotRun(job.ref + " is not accepted");
    }

    String status(String ref) throws Exception {
        Http.Answer answer = user("GET", "/work/" + ref, null);
        return answer == null || answer.status != 200 ? "unknown" : (String) answer.json().get("status");
    }

    // What runs.

    void started(Worker worker, Worker.Task task, boolean fails) {
        record.line(worker.name + ": " + task.lap() + "#" + task.start + " starts" + (fails ? " and will fail" : ""));
        starts.merge(task.ref, 1, Integer::sum);
        if (task.job.isGang()) gangs.computeIfAbsent(task.ref + "#" + task.start, key -> new CopyOnWriteArrayList<>()).add(task);
    }

    void left(Worker worker, Worker.Task task, String reason) {
        record.line(worker.name + ": " + task.lap() + "#" + task.start + " ends: " + reason);
        synchronized (done) {
            if ("done".equals(reason)) done.add(task.lap());
        }
        List<Worker.Task> gang = gangs.get(task.ref + "#" + task.start);
        if (gang != null && !"done".equals(reason)) gang.remove(task);
    }

    /** Waits until all tasks of the gang are on their machines. Returns false if the task has ended before. */
    boolean awaitGang(Worker worker, Worker.Task task) throws InterruptedException {
        long until = System.nanoTime() + 35_000_000_000L;
        List<Worker.Task> gang = gangs.get(task.ref + "#" + task.start);
        while (gang.size() < task.job.laps) {
            if (task.status.equals("ended") || !worker.isAlive()) return false;
            if (System.nanoTime() > until) {
                worker.endIfUp(task, "alone");
                return false;
            }
            Thread.sleep(10);
        }
        boolean runs = worker.gangRuns(task);
        if (runs) {
            record.line(worker.name + ": " + task.lap() + "#" + task.start + " runs, its gang is whole");
            gangRuns.merge(task.ref, 1, Integer::sum);
        }
        return runs;
    }

    /** How many tasks of the gang have run, which they do only all together. */
    int gangRuns(String ref) {
        return gangRuns.getOrDefault(ref, 0);
    }

    boolean isDone(Worker.Task task) {
        synchronized (done) {
            return done.contains(task.lap());
        }
    }

    int doneTasks(String ref) {
        synchronized (done) {
            int count = 0;
            for (String lap : done) if (lap.startsWith(ref + "/")) count++;
            return count;
        }
    }

    int starts(String ref) {
        return starts.getOrDefault(ref, 0);
    }

    int running(String ref) {
        int count = 0;
        for (Worker worker : workers) if (worker.isAlive()) count += worker.tasksOf(ref);
        return count;
    }

    /**
     * Whether the job has no task on any machine for [seconds], while some machine has room for a task of it all the
     * time. Returns false as soon as a task of it is on a machine.
     */
    boolean waitsBesideRoom(Job job, double seconds) throws Exception {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        long nextPoll = 0;
        while (System.nanoTime() < until) {
            if (running(job.ref) > 0 || doneTasks(job.ref) == job.laps) return false;
            double room = 0;
            for (Worker worker : workers) if (worker.isAlive()) room = Math.max(room, worker.freeCores());
            if (room < job.cores) throw new CouldNotRun("no machine has room any more");
            if (System.nanoTime() > nextPoll) {
                nextPoll = System.nanoTime() + 5_000_000_000L;
                status(job.ref);
                StringBuilder text = new StringBuilder("free cores:");
                for (Worker worker : workers) if (worker.isAlive()) text.append(' ').append(worker.name).append('=').append(worker.freeCores());
                record.line(text.toString());
            }
            sleep(0.1);
        }
        return true;
    }
}
