import com.sun.net.httpserver.HttpServer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** A stand-in of the cloud: machine types, rentals, deletions and a list that lags behind. */
final class Cloud {
    /** A machine type that the cloud offers. */
    static final class Type {
        String label;
        double cores;
        double cards;
        double ramGb;
        double localGb;
        double pullGbPerS;
        double hourly;
        double readyS;
        List<Object> circuits;
    }

    private static final class Machine {
        String name;
        Type type;
        String circuit;
        boolean loaners;
        long rentedAt;
        long upAt = Long.MAX_VALUE;
        long goneAt = Long.MAX_VALUE;
        Worker worker;
    }

    private final World world;
    private final Map<String, Type> types = new HashMap<>();
    private final Map<String, Integer> capacity = new HashMap<>();
    private final Map<String, List<Object>> bookings = new HashMap<>();
    private final TreeMap<String, Machine> machines = new TreeMap<>();
    private final Map<String, Integer> asked = new HashMap<>();
    private int count = 0;
    final HttpServer server;
    final String addr;

    Cloud(World world) throws Exception {
        this.world = world;
        server = Http.serve(this::handle);
        addr = "127.0.0.1:" + server.getAddress().getPort();
    }

    /** How many rental requests there were for machines of a type, or of a type in a zone. */
    synchronized int askedFor(String label) {
        return asked.getOrDefault(label, 0);
    }

    private static long now() {
        return System.nanoTime() / 1_000_000;
    }

    void addType(String label, double cores, double cards, double ramGb, double hourly, double readyS, String... circuits) {
        Type type = new Type();
        type.label = label;
        type.cores = cores;
        type.cards = cards;
        type.ramGb = ramGb;
        type.localGb = 70;
        type.pullGbPerS = 5;
        type.hourly = hourly;
        type.readyS = readyS;
        type.circuits = new ArrayList<>(List.of((Object[]) circuits));
        types.put(label, type);
    }

    /** How many more ordinary machines of a type can be rented in a zone. */
    synchronized void setCapacity(String label, String circuit, int more) {
        capacity.put(label + "/" + circuit + "/false", more);
    }

    /** Adds machines that are up at the start of the day. */
    List<Worker> addRunning(String label, String circuit, int number) throws Exception {
        return addRunning(label, circuit, number, false);
    }

    /** Adds machines that are up at the start of the day; [loaners]: cheap ones. */
    synchronized List<Worker> addRunning(String label, String circuit, int number, boolean loaners) throws Exception {
        List<Worker> workers = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Machine machine = rent(types.get(label), circuit, loaners);
            machine.rentedAt = now() - 60_000;
            machine.upAt = now() - 30_000;
            machine.worker = new Worker(world, machine.name, machine.type, circuit, loaners);
            machine.worker.start();
            workers.add(machine.worker);
        }
        return workers;
    }

    private Machine rent(Type type, String circuit, boolean loaners) {
        Machine machine = new Machine();
        machine.name = String.format("m-%06d", ++count);
        machine.type = type;
        machine.circuit = circuit;
        machine.loaners = loaners;
        machine.rentedAt = now();
        machines.put(machine.name, machine);
        return machine;
    }

    /** The cloud takes a cheap machine back without a notice. */
    synchronized void take(Worker worker) {
        for (Machine machine : machines.values()) if (machine.worker == worker) machine.goneAt = now();
        worker.die();
        world.record.line("machine " + worker.name + " is taken back");
    }

    private synchronized Http.Answer handle(Http.Request request) throws Exception {
        if (request.path.equals("/flavors")) {
            List<Object> list = new ArrayList<>();
            for (Type type : types.values()) {
                list.add(Json.map("label", type.label, "cores", type.cores, "cards", type.cards, "ram_gb", type.ramGb,
                    "local_gb", type.localGb, "pull_gb_per_s", type.pullGbPerS, "hourly", type.hourly,
                    "spot_price", type.hourly / 4, "ready_s", type.readyS, "circuits", type.circuits));
            }
            return new Http.Answer(200, Json.map("chassis", list));
        }
        if (request.path.equals("/machines/delete")) {
            for (Object name : (List<?>) Json.object(request.body).get("cars")) delete((String) name);
            return new Http.Answer(200, Json.map());
        }
        if (request.path.equals("/machines") && request.method.equals("POST")) return book(Json.object(request.body));
        if (request.path.equals("/machines")) return list(request);
        return new Http.Answer(400, Json.map("error", "malformed"));
    }

    private void delete(String name) {
        Machine machine = machines.get(name);
        if (machine == null || machine.goneAt <= now()) return;
        machine.goneAt = now();
        if (machine.worker != null) machine.worker.die();
        world.record.line("cloud: " + name + " deleted by the controllers");
        capacity.merge(machine.type.label + "/" + machine.circuit + "/" + machine.loaners, 1, Integer::sum);
    }

    private Http.Answer book(Map<String, Object> body) {
        String booking = (String) body.get("booking");
        if (bookings.containsKey(booking)) return new Http.Answer(200, Json.map("cars", bookings.get(booking)));
        Type type = types.get((String) body.get("rig"));
        if (type == null) return new Http.Answer(400, Json.map("error", "malformed"));
        String circuit = (String) body.get("circuit");
        boolean loaners = (Boolean) body.get("loaners");
        String kind = type.label + "/" + circuit + "/" + loaners;
        int number = Math.min(((Number) body.get("count")).intValue(), capacity.getOrDefault(kind, 0));
        asked.merge(type.label, 1, Integer::sum);
        asked.merge(type.label + "/" + circuit, 1, Integer::sum);
        if (number == 0) {
            world.record.line("cloud: " + booking + " for " + body.get("count") + " " + kind + ": no capacity");
            return new Http.Answer(503, Json.map("error", "no capacity"));
        }
        capacity.merge(kind, -number, Integer::sum);
        List<Object> names = new ArrayList<>();
        for (int i = 0; i < number; i++) {
            Machine machine = rent(type, circuit, loaners);
            names.add(machine.name);
            Http.run(() -> boot(machine));
        }
        bookings.put(booking, names);
        world.record.line("cloud: " + booking + " rents " + names);
        return new Http.Answer(200, Json.map("cars", names));
    }

    private void boot(Machine machine) {
        try {
            Thread.sleep((long) (machine.type.readyS * 1000));
            synchronized (this) {
                if (machine.goneAt <= now()) return;
                machine.upAt = now();
                machine.worker = new Worker(world, machine.name, machine.type, machine.circuit, machine.loaners);
                machine.worker.start();
            }
        } catch (Exception e) {
            world.record.line("cloud: " + machine.name + " does not boot: " + e);
        }
    }

    private Http.Answer list(Http.Request request) {
        String since = request.query.getOrDefault("since", "");
        int page = Math.min(500, Integer.parseInt(request.query.getOrDefault("page", "500")));
        long at = now() - World.LIST_LAG_MS;
        List<Object> found = new ArrayList<>();
        boolean more = false;
        for (Machine machine : machines.tailMap(since, false).values()) {
            if (machine.rentedAt > at || machine.goneAt <= at) continue;
            if (found.size() >= page) {
                more = true;
                break;
            }
            found.add(Json.map("ref", machine.name, "addr", machine.worker == null ? null : machine.worker.addr,
                "rig", machine.type.label, "circuit", machine.circuit, "loaners", machine.loaners,
                "status", machine.upAt <= at ? "running" : "starting", "held_s", (at - machine.rentedAt) / 1000.0));
        }
        return new Http.Answer(200, Json.map("cars", found, "more", more));
    }
}
