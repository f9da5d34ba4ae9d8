import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment on loopback: controllers as processes, and stand-ins for the state service, the cloud, workers and
 * users. Everything that is sent, answered and run is written to record.txt.
 */
final class World {
    interface Body {
        void run() throws Exception;
    }

    // The limits and times of the deployment.
    List<String> zones = List.of("thu-duc", "hoc-mon");
    List<String> hosts = List.of("pitbox-0", "pitbox-1", "pitbox-2");
    double reportS = 0.8;
    double leaseS = 10.0;
    double cancelS = 30.0;
    double stateRps = 80.0;
    double stateWriteRps = 25.0;
    int valueKb = 16;
    int txnOps = 20;
    double cloudRps = 6.0;
    double listLagS = 10.0;
    int maxSockets = 700;
    double readyS = 2.0;
    double cores = 96.0;
    double cards = 8.0;
    double ramGb = 576.0;
    /** How many machines the cloud has, of all zones together. */
    int capacity = 1000;

    private static final long START = System.nanoTime();
    private final PrintWriter out;
    final Path folder;
    final Path repository;
    final Http.Owners owners = new Http.Owners();
    /** The controllers that have lost the network. */
    final Set<String> cut = ConcurrentHashMap.newKeySet();
    /** The zone that is cut off from everything outside it; null: none. */
    volatile String cutZone;

    final Map<String, Http.Server> stateServers = new LinkedHashMap<>();
    final Map<String, Http.Server> cloudServers = new LinkedHashMap<>();
    final Map<String, String> listen = new LinkedHashMap<>();
    final Map<String, String> back = new LinkedHashMap<>();
    final Map<String, Process> processes = new ConcurrentHashMap<>();
    private boolean ended;
    final Map<String, Path> settings = new LinkedHashMap<>();
    StateService state;
    Cloud cloud;
    final Map<String, Map<String, Object>> jobs = new ConcurrentHashMap<>();
    final Set<String> doneTasks = ConcurrentHashMap.newKeySet();

    World(Path caseFolder, Path repository) throws IOException {
        this.repository = repository;
        out = new PrintWriter(Files.newBufferedWriter(caseFolder.resolve("record.txt")), true);
        folder = Files.createTempDirectory("review");
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
    }

    static long now() {
        return (System.nanoTime() - START) / 1_000_000;
    }

    static void thread(String name, Body body) {
        Thread t = new Thread(() -> {
            try {
                body.run();
            } catch (InterruptedException e) {
                // The case has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, name);
        t.setDaemon(true);
        t.start();
    }

    /** Runs a case: exit code 2 if it could not run, or not within its time. */
    static void run(Body body) {
        thread("time limit", () -> {
            Thread.sleep(116_000);
            System.err.println("the case took too long");
            System.exit(2);
        });
        try {
            body.run();
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(2);
    }

    synchronized void record(String line) {
        out.printf("%8.3f %s%n", now() / 1000.0, line);
    }

    /** A limit of requests a second; {@code burstS} seconds' worth may come at once. */
    static final class Bucket {
        private final double rate;
        private final double most;
        private double tokens;
        private long at = now();

        Bucket(double rate, double burstS) {
            this.rate = rate;
            most = rate * burstS;
            tokens = most;
        }

        synchronized boolean take(int n) {
            long t = now();
            tokens = Math.min(most, tokens + (t - at) * rate / 1000);
            at = t;
            if (tokens < n) return false;
            tokens -= n;
            return true;
        }
    }

    // Controllers.

    String zoneOf(String host) {
        return zones.get(hosts.indexOf(host) % zones.size());
    }

    /** Whether packets between a controller and something in a zone are lost; null: something that is in no zone. */
    boolean lost(String host, String zone) {
        String z = cutZone;
        return cut.contains(host) || z != null && zoneOf(host).equals(z) != z.equals(zone);
    }

    /** Starts the services, and prepares the settings of the controllers. */
    void prepare(Object... teams) throws IOException {
        state = new StateService(this);
        cloud = new Cloud(this);
        for (String h : hosts) {
            stateServers.put(h, new Http.Server(state::handle, null, f -> lost(h, null)));
            cloudServers.put(h, new Http.Server(cloud::handle, null, f -> lost(h, null)));
            listen.put(h, "127.0.0.1:" + Http.freePort());
            back.put(h, "127.0.0.1:" + Http.freePort());
        }
        for (int i = 0; i < hosts.size(); i++) {
            String h = hosts.get(i);
            List<Object> seeds = new ArrayList<>();
            for (int k = 0; k < hosts.size(); k++) {
                String p = hosts.get(k);
                if (p.equals(h)) continue;
                Http.Proxy proxy = new Http.Proxy(back.get(p), () -> cut.contains(p) || lost(h, zoneOf(p)));
                seeds.add(Json.of("host_name", p, "location", zones.get(k % zones.size()), "peer_addr", proxy.addr()));
            }
            Map<String, Object> params = Json.of(
                "initial_size", hosts.size(), "zones", zones, "teams", Arrays.asList(teams), "objectives", List.of(),
                "workers", Json.of("report_s", reportS, "lease_s", leaseS, "gang_wait_s", 40.0, "gang_peer_s", 4.0, "cancel_s", cancelS),
                "state", Json.of("rps", stateRps, "write_rps", stateWriteRps, "value_kb", valueKb, "txn_ops", txnOps),
                "cloud", Json.of("rps", cloudRps, "list_lag_s", listLagS),
                "machine_limits", Json.of("core_share", 0.255, "memory_mb", 181.0, "max_sockets", maxSockets),
                "time_bound_ms", 100.0);
            Map<String, Object> all = Json.of(
                "host_name", h, "location", zones.get(i % zones.size()), "listen", listen.get(h), "back", back.get(h), "seeds", seeds,
                "services", Json.of("cloud", cloudServers.get(h).addr(), "state", stateServers.get(h).addr()), "params", params);
            Path file = folder.resolve(h + ".json");
            Files.writeString(file, Json.text(all));
            settings.put(h, file);
        }
    }

    /** Starts a controller with the command of the deploy file. */
    void startController(String host) throws IOException {
        String run = null;
        for (String l : Files.readAllLines(repository.resolve("deploy/service.toml"))) {
            if (l.startsWith("run = ")) run = l.substring(l.indexOf('"') + 1, l.lastIndexOf('"'));
        }
        List<String> command = new ArrayList<>(Arrays.asList(run.split(" ")));
        command.add(settings.get(host).toString());
        ProcessBuilder b = new ProcessBuilder(command).directory(repository.toFile());
        b.redirectOutput(ProcessBuilder.Redirect.DISCARD);
        b.redirectError(ProcessBuilder.Redirect.appendTo(folder.resolve(host + ".log").toFile()));
        if (System.getenv("LOG_LEVEL") == null) b.environment().put("LOG_LEVEL", "info");
        Process p;
        synchronized (processes) {
            if (ended) throw new IOException("the case has ended");
            p = b.start();
            processes.put(host, p);
        }
        owners.put(host, p.pid());
        record("controller " + host + " started, process " + p.pid());
    }

    void kill(String host) throws InterruptedException {
        processes.get(host).destroyForcibly().waitFor();
        record("controller " + host + " killed");
    }

    /** Waits until all controllers are healthy. */
    boolean awaitHealthy(long timeoutMs) throws InterruptedException {
        long end = now() + timeoutMs;
        for (String h : hosts) {
            while (true) {
                Http.Response r = new Http.Client().call(listen.get(h), "GET", "/healthz", null, 1000);
                if (r != null && r.status == 200) break;
                if (now() > end) return false;
                Thread.sleep(100);
            }
            record("controller " + h + " is healthy");
        }
        return true;
    }

    /** Ends all processes that were started, and deletes their files unless KEEP_LOGS is set. */
    void end() {
        synchronized (processes) {
            ended = true;
        }
        for (Process p : processes.values()) p.destroyForcibly();
        for (Process p : processes.values()) {
            try {
                p.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        out.flush();
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs are in " + folder);
            return;
        }
        try (java.util.stream.Stream<Path> files = Files.list(folder)) {
            for (Path f : (Iterable<Path>) files::iterator) Files.deleteIfExists(f);
            Files.deleteIfExists(folder);
        } catch (IOException e) {
            // The folder is a temporary one.
        }
    }

    // Users.

    /** A job as its user submits it. */
    static Map<String, Object> job(String ref, String crew, String format, String grid, int laps, double cores, double cards, double ramGb, double lapTimeS) {
        return Json.of(
            "ref", ref, "lane", format.equals("daemon") ? "grid-pairer" : "replay-scorer", "crew", crew, "format", format, "grid", grid,
            "laps", laps, "cores", cores, "cards", cards, "ram_gb", ramGb, "livery", "img-01", "size_gb", 1.0, "chassis", null,
            "circuit", null, "together", false, "scatter", false, "loaners", false, "lap_time_s", lapTimeS, "sector_s", 0.0,
            "pit_stop_s", 0.0, "flag_s", null);
    }

    /** Sends a request of a user to one controller. */
    Http.Response user(String host, String method, String target, String body, int timeoutMs) {
        Http.Response r = new Http.Client().call(listen.get(host), method, target, body, timeoutMs);
        String shown = body != null && body.length() > 300 ? body.substring(0, 120) + "... (" + body.length() + " bytes)" : body;
        record("user -> " + host + " " + method + " " + target + (shown == null ? "" : " " + shown) + " => "
            + (r == null ? "no answer" : r.status + " " + r.body));
        return r;
    }

    /** Submits a job to one controller after the other until it is accepted, for up to 60 s. */
    boolean submit(Map<String, Object> job, String first) throws InterruptedException {
        jobs.put((String) job.get("ref"), job);
        int i = hosts.indexOf(first);
        long end = now() + 60_000;
        while (now() < end) {
            Http.Response r = user(hosts.get(i % hosts.size()), "POST", "/work", Json.text(job), 5000);
            if (r != null && (r.status == 201 || r.status == 200)) return true;
            if (r != null && (r.status == 400 || r.status == 422)) return false;
            i++;
            Thread.sleep(1000);
        }
        return false;
    }

    // Cloud.

    static final class Car {
        String name;
        String zone;
        boolean loaners;
        long rentedAt;
        long upAt;
        Long goneAt;
        Worker worker;
        String addr;
    }

    static final class Cloud {
        private final World world;
        private final Bucket requests;
        private final Map<String, List<Object>> bookings = new LinkedHashMap<>();
        final TreeMap<String, Car> cars = new TreeMap<>();
        private int next = 1;

        Cloud(World world) {
            this.world = world;
            requests = new Bucket(world.cloudRps, 2);
        }

        synchronized List<Car> up() {
            List<Car> l = new ArrayList<>();
            for (Car c : cars.values()) if (c.worker != null && c.goneAt == null) l.add(c);
            return l;
        }

        @SuppressWarnings("unchecked")
        synchronized Http.Response handle(Http.Request r) throws IOException {
            if (!requests.take(1)) return new Http.Response(429, "{}");
            if (r.path.equals("/flavors")) {
                return new Http.Response(200, Json.of("chassis", List.of(Json.of(
                    "label", "pit-rig", "cores", world.cores, "cards", world.cards, "ram_gb", world.ramGb, "local_gb", 400.0,
                    "pull_gb_per_s", 10.0, "hourly", 27.76, "spot_price", 6.68, "ready_s", world.readyS, "circuits", world.zones))));
            }
            if (r.path.equals("/machines") && r.method.equals("POST")) {
                Map<String, Object> q = Json.object(r.body);
                List<Object> names = bookings.get((String) q.get("booking"));
                if (names == null) {
                    int left = world.capacity;
                    for (Car c : cars.values()) if (c.goneAt == null) left--;
                    if (left <= 0) {
                        world.record("cloud POST /machines " + r.body + " => 503 no capacity");
                        return new Http.Response(503, Json.of("error", "no capacity"));
                    }
                    names = new ArrayList<>();
                    for (int i = 0; i < Math.min(left, Json.num(q.get("count"))); i++) {
                        Car c = new Car();
                        c.name = String.format("m-%06d", next++);
                        c.zone = (String) q.get("circuit");
                        c.loaners = (Boolean) q.get("loaners");
                        c.rentedAt = now();
                        c.upAt = now() + (long) (world.readyS * 1000);
                        cars.put(c.name, c);
                        names.add(c.name);
                        thread("boot", () -> {
                            Thread.sleep((long) (world.readyS * 1000));
                            synchronized (this) {
                                if (c.goneAt != null) return;
                                c.worker = new Worker(world, c);
                                c.addr = c.worker.addr();
                            }
                            world.record("car " + c.name + " is up in " + c.zone);
                        });
                    }
                    bookings.put((String) q.get("booking"), names);
                }
                world.record("cloud POST /machines " + r.body + " => " + names);
                return new Http.Response(200, Json.of("cars", names));
            }
            if (r.path.equals("/machines/delete")) {
                List<Object> names = (List<Object>) Json.object(r.body).get("cars");
                for (Object n : names) {
                    Car c = cars.get((String) n);
                    if (c == null || c.goneAt != null) continue;
                    c.goneAt = now();
                    world.record("cloud deletes " + c.name + (c.worker == null ? " (not up)" : ": " + c.worker.describe()));
                    world.deleted(c);
                    if (c.worker != null) c.worker.stop();
                }
                return new Http.Response(200, "{}");
            }
            if (r.path.equals("/machines")) {
                long t = now() - (long) (world.listLagS * 1000);
                List<Object> listed = new ArrayList<>();
                int page = Math.min(500, Integer.parseInt(r.query.getOrDefault("page", "500")));
                boolean more = false;
                for (Car c : cars.tailMap(r.query.getOrDefault("since", ""), false).values()) {
                    if (c.rentedAt > t || c.goneAt != null && c.goneAt <= t) continue;
                    if (listed.size() == page) {
                        more = true;
                        break;
                    }
                    boolean up = c.upAt <= t && c.worker != null;
                    listed.add(Json.of("ref", c.name, "addr", c.addr == null ? "" : c.addr, "rig", "pit-rig", "circuit", c.zone,
                        "loaners", c.loaners, "status", up ? "running" : "starting", "held_s", (t - c.rentedAt) / 1000.0));
                }
                return new Http.Response(200, Json.of("cars", listed, "more", more));
            }
            return new Http.Response(400, "{}");
        }
    }

    /** What is known about a machine at the moment at which the cloud is asked to delete it. */
    static final class Deletion {
        String car;
        long at;
        int tasks;
        long answeredAgoMs;
        long silenceMs;
    }

    final List<Deletion> deletions = new ArrayList<>();

    private void deleted(Car c) {
        Deletion d = new Deletion();
        d.car = c.name;
        d.at = now();
        if (c.worker != null) {
            d.tasks = c.worker.running();
            d.answeredAgoMs = now() - c.worker.lastAnswerAt;
            d.silenceMs = c.worker.longestSilenceMs;
        }
        synchronized (deletions) {
            deletions.add(d);
        }
    }
}
